#include "explain_command.hpp"

#include "command_error.hpp"
#include "input_file.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

struct reason_meaning {
    std::string_view reason;
    std::string_view meaning;
};

constexpr std::array meanings{
    reason_meaning{"answered", "answered with the endpoint's whole answer"},
    reason_meaning{"over-share",
                   "refused at arrival: its account asks for more than it is admitted; it has not run"},
    reason_meaning{"overloaded", "refused at arrival: the backlog was too long; it has not run"},
    reason_meaning{"waited-too-long", "refused: no endpoint had room in time; it has not run"},
    reason_meaning{"timed-out-waiting", "refused at its time limit without having been sent; it has not run"},
    reason_meaning{"no-endpoint", "refused: no endpoint of its service is registered and in service"},
    reason_meaning{"endpoint-refused", "refused: every endpoint that was asked said that it is full"},
    reason_meaning{"endpoint-unreachable", "refused: no endpoint could be reached; it has not run"},
    reason_meaning{"no-configuration", "refused: the gateway knew no configuration yet"},
    reason_meaning{"too-many-requests-open", "refused: the gateway held as many requests as it may"},
    reason_meaning{"no-route", "no route for its host and path in this version of the configuration"},
    reason_meaning{"unknown-key",
                   "its key belongs to no client account in this version of the configuration"},
    reason_meaning{"configuration-behind",
                   "refused: its route or key is unknown, and another gateway has a newer configuration"},
    reason_meaning{"endpoint-broke-off",
                   "may have run: the endpoint's connection broke before a whole answer"},
    reason_meaning{"no-endpoint-for-retry", "may have run: it failed once, and no second endpoint had room"},
    reason_meaning{"prompt-part-suspected",
                   "refused: endpoints ended on a part of its prompt, and another request tries it"},
    reason_meaning{"prompt-part-blocked", "refused or ended: a part of its prompt crashes endpoints"},
    reason_meaning{"request-suspected",
                   "refused: endpoints ended on the same request, and another copy of it is the trial"},
    reason_meaning{"request-blocked", "refused or ended: the same request crashes endpoints"},
    reason_meaning{"timed-out", "may have run: its time limit passed while an endpoint worked on it"},
    reason_meaning{"stream-broken", "cut: the endpoint broke off after events had been passed on"},
    reason_meaning{"caller-left", "the caller closed its connection first"},
};

std::string_view meaning_of(const json& line)
{
    const auto reason = line.value("reason", "");
    for (const auto& it : meanings) {
        if (it.reason == reason) {
            return it.meaning;
        }
    }
    if (line.value("event", "") != "call-failed") {
        return "";
    }
    return line.value("outcome", "") == "not-connected"
               ? "an endpoint could not be reached; nothing ran there"
               : "an endpoint broke off; it may have run there";
}

std::vector<json> lines_of(const std::string& text, const std::string& id)
{
    std::vector<json> out;
    std::istringstream lines{text};
    for (std::string line; std::getline(lines, line);) {
        auto value = json::parse(line, nullptr, false);
        if (value.is_object() && value.contains("request") && value["request"] == id) {
            out.push_back(std::move(value));
        }
    }
    return out;
}

void write_line(std::ostream& out, const json& line)
{
    out << line.value("process", "?") << "  " << line.value("event", "?") << ": " << meaning_of(line) << '\n';
    for (const auto& [name, value] : line.items()) {
        if (name != "process" && name != "event" && name != "request" && name != "level" && name != "time") {
            out << "    " << name << " = " << (value.is_string() ? value.get<std::string>() : value.dump())
                << '\n';
        }
    }
}

} // namespace

leaf::result<exit_code> run_explain(const command_options& options, const command_output& output)
{
    auto found = json::array();
    for (const std::string& it : options.log_files) {
        BOOST_LEAF_AUTO(text, read_input_file(it));
        for (auto& line : lines_of(text, options.request)) {
            found.push_back(std::move(line));
        }
    }
    if (found.empty()) {
        return leaf::new_error(command_error{
            exit_code::not_found, "no line of request " + options.request + " in these files",
            "Name the logs of all gateways; log-lines-left-out says whether lines are missing."});
    }
    if (output.is_json) {
        output.out << found.dump() << '\n';
        return exit_code::done;
    }
    for (const auto& it : found) {
        write_line(output.out, it);
    }
    return exit_code::done;
}

} // namespace hemlocknotch
