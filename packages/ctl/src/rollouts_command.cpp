#include "rollouts_command.hpp"

#include "command_error.hpp"

#include <nlohmann/json.hpp>

#include <cassert>
#include <optional>
#include <string>

namespace hemlocknotch {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr int status_ok = 200;

void write_rollout(std::ostream& out, const json& it)
{
    const auto text = [&](const char* name) { return it.value(name, std::string{"?"}); };
    const auto number = [&](const char* name) {
        const auto found = it.find(name);
        return found == it.end() ? std::string{"?"} : found->dump();
    };
    out << text("service") << " to " << text("version") << ": " << text("phase") << " (" << text("reason")
        << ")\n"
        << "    after " << number("elapsed_s") << " s of " << number("time_limit_s") << " s; "
        << number("endpoints_of_version") << " endpoints of the version, " << number("other_endpoints")
        << " others\n"
        << "    answers of the version: " << number("answers") << ", bad " << number("bad_answers")
        << "; of others: " << number("other_answers") << ", bad " << number("other_bad_answers") << '\n'
        << "    evidence against it: log likelihood ratio " << number("log_likelihood_ratio")
        << ", bad answers in excess " << number("excess_bad_answers") << '\n'
        << "    sent by this gateway: " << number("own_requests") << ", of these to the version "
        << number("own_requests_to_version") << '\n';
}

} // namespace

leaf::result<exit_code> run_rollouts(command_context& context, const command_options& options,
                                     const command_output& output)
{
    const auto address = endpoint_address::parse(options.gateway);
    assert(address);
    std::optional<http_answer> answer;
    context.daemon(*address).send({http_method::get, "/rollouts", {}, {}}, context.call_limit(),
                                  [&](const http_answer& it) { answer = it; });
    context.run_until([&] { return answer.has_value(); });
    const auto list = json::parse(answer->body, nullptr, false);
    if (answer->status != status_ok || !list.is_array()) {
        return leaf::new_error(command_error{
            exit_code::unknown, "the gateway at " + options.gateway + " gave no answer that can be read",
            "Name the address of a gateway's metrics, as in /listen/metrics of its settings."});
    }
    if (output.is_json) {
        output.out << list.dump() << '\n';
        return exit_code::done;
    }
    for (const auto& it : list) {
        if (it.is_object()) {
            write_rollout(output.out, it);
        }
    }
    if (list.empty()) {
        output.out << "no roll-out has been ordered\n";
    }
    return exit_code::done;
}

} // namespace hemlocknotch
