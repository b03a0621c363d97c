#include "fleet_reader.hpp"

#include <hemlocknotch/coordination/json_fields.hpp>

#include "command_error.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hemlocknotch {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr int status_ok = 200;

std::map<std::string, std::map<std::string, double>> read_counters(const json& value)
{
    std::map<std::string, std::map<std::string, double>> counters;
    const auto services = value.find("counters");
    if (services == value.end() || !services->is_object()) {
        return counters;
    }
    for (const auto& [service, accounts] : services->items()) {
        if (!accounts.is_object()) {
            continue;
        }
        for (const auto& [account, counter] : accounts.items()) {
            if (counter.is_number()) {
                counters[service][account] = counter.get<double>();
            }
        }
    }
    return counters;
}

leaf::result<std::vector<listed_instance>> read_instances(command_context& context)
{
    BOOST_LEAF_AUTO(list, context.instances());
    std::optional<http_answer> answer;
    list.get().send({http_method::get, "/instances", ""}, context.call_limit(),
                    [&](const http_answer& value) { answer = value; });
    context.run_until([&] { return answer.has_value(); });
    const auto read = answer->status == status_ok ? read_instance_document(answer->body) : std::nullopt;
    if (!read) {
        return leaf::new_error(command_error{exit_code::unknown, "the instance list gave no answer",
                                             "Check its address, or try again when it is up."});
    }
    return *read;
}

} // namespace

std::optional<daemon_status> read_daemon_status(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    daemon_status status;
    status.revision = read_count_field(value, "revision");
    status.is_ready = read_flag_field(value, "is_ready");
    status.is_draining = read_flag_field(value, "is_draining");
    status.links = read_count_field(value, "links");
    status.waiting = read_count_field(value, "waiting");
    status.outstanding = read_count_field(value, "outstanding");
    status.running = read_count_field(value, "running");
    status.limit = read_count_field(value, "limit");
    status.room = read_count_field(value, "room");
    status.counters = read_counters(value);
    return status;
}

leaf::result<std::vector<observed_daemon>> read_fleet(command_context& context)
{
    BOOST_LEAF_AUTO(instances, read_instances(context));
    std::vector<observed_daemon> daemons;
    daemons.reserve(instances.size());
    for (const listed_instance& it : instances) {
        daemons.push_back({it, std::nullopt});
    }
    std::size_t open_calls = 0;
    for (observed_daemon& it : daemons) {
        if (!it.instance.operators) {
            continue;
        }
        ++open_calls;
        context.daemon(*it.instance.operators)
            .send({http_method::get, "/status", ""}, context.call_limit(), [&](const http_answer& answer) {
                --open_calls;
                if (answer.status == status_ok) {
                    it.status = read_daemon_status(answer.body);
                }
            });
    }
    context.run_until([&] { return open_calls == 0; });
    std::sort(daemons.begin(), daemons.end(),
              [](const auto& a, const auto& b) { return a.instance.process.name < b.instance.process.name; });
    return daemons;
}

} // namespace hemlocknotch
