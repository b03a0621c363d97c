#include "status_command.hpp"

#include <hemlocknotch/ctl/config_editor.hpp>

#include "fleet_reader.hpp"
#include "fleet_summary.hpp"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <optional>
#include <sstream>

namespace hemlocknotch {
namespace {

namespace leaf = boost::leaf;
using nlohmann::ordered_json;

/// The configuration in force as far as the key-value service can say; status works without it.
configuration_ptr read_configuration_in_force(command_context& context, const command_options& options)
{
    if (options.store.empty()) {
        return nullptr;
    }
    const auto store = context.store();
    std::optional<store_answer> answer;
    store.value().get().get(configuration_key, [&](const store_answer& value) { answer = value; });
    context.run_until([&] { return answer.has_value(); });
    const auto envelope = answer->status == store_status::ok ? read_envelope(answer->value) : std::nullopt;
    return envelope ? read_configuration(envelope->document, envelope->revision).accepted : nullptr;
}

std::string fixed(double value)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << value;
    return text.str();
}

void write_row(std::ostream& out, const observed_daemon& daemon, std::string_view health)
{
    const member& process = daemon.instance.process;
    out << std::left << std::setw(20) << process.name << std::setw(7)
        << (process.role == process_role::entry ? "entry" : "agent") << std::setw(12)
        << process.failure_domain << std::setw(12) << (process.service.empty() ? "-" : process.service)
        << std::setw(11) << health;
    if (!daemon.status) {
        out << '\n';
        return;
    }
    const daemon_status& status = *daemon.status;
    out << std::right << std::setw(9) << status.revision << std::setw(7) << status.links;
    if (process.role == process_role::entry) {
        out << std::setw(9) << status.waiting << std::setw(9) << status.outstanding;
    }
    else {
        out << std::setw(9) << "-" << std::setw(9) << status.running << std::setw(7) << status.limit
            << std::setw(6) << status.room;
    }
    out << '\n';
}

void write_summary(std::ostream& out, const fleet_summary& summary, const configuration* current)
{
    out << "\nlive " << summary.live << ", answering " << summary.answering << ", waiting " << summary.waiting
        << '\n';
    if (current != nullptr) {
        out << "accepted revision " << current->revision << '\n';
        for (const std::string& it : current->out.failure_domains) {
            out << "out of service: failure domain " << it << '\n';
        }
        for (const std::string& it : current->out.instances) {
            out << "out of service: instance " << it << '\n';
        }
    }
    for (const auto& [revision, daemons] : summary.revisions) {
        out << "revision " << revision << " runs on " << daemons << " daemons\n";
    }
    for (const auto& [service, use] : summary.use) {
        constexpr double percent = 100.0;
        const double limit = use.limit == 0 ? 1.0 : static_cast<double>(use.limit);
        out << "service " << service << ": " << use.running << " of " << use.limit << " places in use ("
            << fixed(percent * static_cast<double>(use.running) / limit) << "%) at " << use.agents
            << " agents\n";
    }
    for (const auto& [service, spread] : summary.spread) {
        out << "service " << service << ": weighted service of " << spread.accounts
            << " client accounts from " << fixed(spread.lowest) << " to " << fixed(spread.highest)
            << " units, gap " << fixed(spread.highest - spread.lowest) << '\n';
    }
}

ordered_json daemon_as_json(const observed_daemon& daemon, std::string_view health)
{
    const member& process = daemon.instance.process;
    ordered_json value{{"name", process.name},
                       {"role", process.role == process_role::entry ? "entry" : "agent"},
                       {"failure_domain", process.failure_domain},
                       {"service", process.service},
                       {"health", health}};
    if (daemon.status) {
        value["revision"] = daemon.status->revision;
        value["links"] = daemon.status->links;
        value["waiting"] = daemon.status->waiting;
        value["outstanding"] = daemon.status->outstanding;
        value["running"] = daemon.status->running;
        value["limit"] = daemon.status->limit;
        value["room"] = daemon.status->room;
    }
    return value;
}

ordered_json summary_as_json(const fleet_summary& summary, const configuration* current)
{
    ordered_json value{
        {"live", summary.live}, {"answering", summary.answering}, {"waiting", summary.waiting}};
    value["accepted_revision"] = current == nullptr ? 0 : current->revision;
    value["services"] = ordered_json::object();
    for (const auto& [service, use] : summary.use) {
        value["services"][service] = {{"agents", use.agents}, {"running", use.running}, {"limit", use.limit}};
    }
    for (const auto& [service, spread] : summary.spread) {
        value["services"][service]["counter_accounts"] = spread.accounts;
        value["services"][service]["counter_lowest"] = spread.lowest;
        value["services"][service]["counter_highest"] = spread.highest;
    }
    return value;
}

void write_status(const std::vector<observed_daemon>& daemons, const fleet_summary& summary,
                  const configuration* current, const command_output& output)
{
    if (output.is_json) {
        ordered_json value{{"daemons", ordered_json::array()}};
        for (const observed_daemon& it : daemons) {
            value["daemons"].push_back(daemon_as_json(it, health_of(it, current)));
        }
        value["summary"] = summary_as_json(summary, current);
        output.out << value.dump() << '\n' << std::flush;
        return;
    }
    output.out << "NAME                ROLE   DOMAIN      SERVICE     HEALTH      REVISION  LINKS  WAITING  "
                  "RUNNING  LIMIT  ROOM\n";
    for (const observed_daemon& it : daemons) {
        write_row(output.out, it, health_of(it, current));
    }
    write_summary(output.out, summary, current);
    output.out << std::flush;
}

} // namespace

leaf::result<exit_code> run_status(command_context& context, const command_options& options,
                                   const command_output& output)
{
    std::optional<fleet_counters> earlier;
    for (std::uint32_t n = 1;; ++n) {
        BOOST_LEAF_AUTO(daemons, read_fleet(context));
        const configuration_ptr current = read_configuration_in_force(context, options);
        write_status(daemons, summarize(daemons, earlier), current.get(), output);
        if (!options.is_watching || n == options.count) {
            return exit_code::done;
        }
        earlier = merge_counters(daemons);
        context.sleep(std::chrono::milliseconds{options.interval_ms});
        if (!output.is_json) {
            output.out << '\n';
        }
    }
}

} // namespace hemlocknotch
