#include "../process_usage.hpp"
#include "gateway_shell.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <limits>
#include <string>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

constexpr std::string_view metrics_path = "/metrics";
constexpr std::string_view rollouts_path = "/rollouts";

} // namespace

bool gateway_shell::is_ready() const
{
    return stop_requested_at_ == instant::max() && router_.has_configuration() &&
           !callers_.overload().is_late();
}

std::uint64_t gateway_shell::configuration_version() const
{
    return view_.configuration_version();
}

page gateway_shell::readiness_page(std::string_view path) const
{
    constexpr int ok = 200;
    constexpr int not_found = 404;
    constexpr int unavailable = 503;
    if (path != dialect_.readiness_path()) {
        return {not_found, "no such page\n"};
    }
    if (is_ready()) {
        return {ok, "ready\n"};
    }
    if (stop_requested_at_ != instant::max()) {
        return {unavailable, "stopping\n"};
    }
    return {unavailable, router_.has_configuration() ? "overloaded\n" : "no configuration yet\n"};
}

page gateway_shell::registry_page(std::string_view path, std::string_view query) const
{
    constexpr int ok = 200;
    constexpr int no_content = 204;
    constexpr int not_found = 404;
    if (path != registry_path || view_.revision() == 0) {
        return {not_found, "nothing known\n"};
    }
    if (!registry_query::parse(query).is_answered_by({view_.position(), view_.configuration_version()})) {
        return {no_content, ""};
    }
    const auto now = clock_.now();
    gateway::registry_update update;
    update.gateway = settings_.instance;
    update.era = view_.era();
    update.configuration_version = view_.configuration_version();
    update.to_revision = view_.revision();
    update.age = now - follower_.current_as_of();
    update.grace = view_.remaining_grace(now);
    update.answering_for = now - follower_.answering_since();
    update.changes = view_.snapshot();
    const auto bytes = encode_update(std::move(update), std::numeric_limits<std::size_t>::max());
    return {ok, std::string{bytes.begin(), bytes.end()}};
}

page gateway_shell::rollouts_page()
{
    constexpr int ok = 200;
    const auto now = clock_.now();
    auto out = nlohmann::json::array();
    for (const auto& [service, plan] : router_.rollouts().all()) {
        if (!plan.order()) {
            continue;
        }
        const auto evidence = plan.total_evidence();
        gateway::answer_counts reference;
        for (const auto& [key, counts] : evidence.reference) {
            reference += counts;
        }
        const auto candidate = evidence.candidate_total();
        const std::chrono::duration<double> time_limit = plan.order()->time_limit;
        const std::chrono::duration<double> elapsed = plan.elapsed(now);
        out.push_back({{"service", service},
                       {"version", plan.order()->version},
                       {"phase", to_text(plan.phase())},
                       {"reason", plan.reason()},
                       {"elapsed_s", elapsed.count()},
                       {"time_limit_s", time_limit.count()},
                       {"endpoints_of_version", plan.candidate_count()},
                       {"other_endpoints", plan.reference_count()},
                       {"own_requests", plan.exposure().requests()},
                       {"own_requests_to_version", plan.exposure().exposed()},
                       {"answers", candidate.answers},
                       {"bad_answers", candidate.bad},
                       {"other_answers", reference.answers},
                       {"other_bad_answers", reference.bad},
                       {"excess_bad_answers", plan.judge().excess_bad()},
                       {"log_likelihood_ratio", plan.judge().evidence()}});
    }
    return {ok, out.dump() + "\n"};
}

page gateway_shell::metrics_page(std::string_view path)
{
    constexpr int ok = 200;
    constexpr int not_found = 404;
    if (path == rollouts_path) {
        return rollouts_page();
    }
    if (path != metrics_path) {
        return {not_found, "no such page\n"};
    }
    const auto total = [this](std::string_view name, std::uint64_t value) {
        metrics_.set_total(name, static_cast<double>(value));
    };
    const auto gauge = [this](std::string_view name, std::size_t value) {
        metrics_.set(name, static_cast<double>(value));
    };
    const auto usage = read_process_usage();
    metrics_.set_total("hemlocknotch_process_cpu_seconds_total", usage.cpu_seconds);
    metrics_.set("hemlocknotch_process_resident_bytes", usage.resident_bytes);
    metrics_.set("hemlocknotch_process_open_descriptors", usage.open_descriptors);
    metrics_.set("hemlocknotch_process_max_descriptors", usage.max_descriptors);
    const std::chrono::duration<double> uptime = clock_.now() - created_at_;
    metrics_.set("hemlocknotch_uptime_seconds", uptime.count());
    const auto& it = router_.counters();
    total("hemlocknotch_gateway_requests_total", it.requests);
    total("hemlocknotch_gateway_answered_total", it.answered);
    total("hemlocknotch_gateway_refused_total", it.refused);
    total("hemlocknotch_gateway_failed_total", it.failed);
    total("hemlocknotch_gateway_cancelled_total", it.cancelled);
    total("hemlocknotch_gateway_sends_total", it.attempts);
    total("hemlocknotch_gateway_retries_total", it.retries);
    total("hemlocknotch_gateway_resumed_streams_total", it.resumed_streams);
    total("hemlocknotch_gateway_malformed_total", malformed_count_);
    total("hemlocknotch_gateway_connections_refused_total", callers_.overload().refused());
    gauge("hemlocknotch_gateway_is_refusing_connections", callers_.overload().is_shedding() ? 1 : 0);
    total("hemlocknotch_gateway_discarded_answers_total", discarded_count_);
    total("hemlocknotch_gateway_registry_calls_total", registry_client_.call_count());
    const auto& registry = follower_.counters();
    total("hemlocknotch_gateway_registry_failed_reads_total", registry.failed_reads);
    total("hemlocknotch_gateway_registry_applied_updates_total", registry.applied_updates);
    total("hemlocknotch_gateway_registry_updates_after_gap_total", registry.updates_after_gap);
    total("hemlocknotch_gateway_registry_restores_total", registry.restores);
    total("hemlocknotch_gateway_endpoint_connections_opened_total", pool_.opened_count());
    total("hemlocknotch_gateway_log_lines_left_out_total", log_.dropped_count());
    gauge("hemlocknotch_gateway_open_requests", router_.exchange_count());
    gauge("hemlocknotch_gateway_caller_connections", callers_.connection_count());
    gauge("hemlocknotch_gateway_request_bytes", callers_.held_bytes());
    total("hemlocknotch_gateway_requests_given_up_total", callers_.requests_given_up());
    total("hemlocknotch_gateway_connections_given_up_total", callers_.connections_given_up());
    gauge("hemlocknotch_gateway_endpoint_connections", pool_.connection_count());
    gauge("hemlocknotch_gateway_blocked_prompt_parts", router_.breaker().blocked_count(clock_.now()));
    gauge("hemlocknotch_gateway_others_heard", others_heard());
    total("hemlocknotch_gateway_rollout_records_written_total", rollouts_.written_count());
    total("hemlocknotch_gateway_rollout_record_writes_failed_total", rollouts_.failed_count());
    for (const auto& [service, plan] : router_.rollouts().all()) {
        const auto set = [&, &service = service](std::string_view name, double value) {
            metrics_.record({metric_kind::gauge, name, "service", service, value});
        };
        const auto candidate = plan.total_evidence().candidate_total();
        set("hemlocknotch_gateway_rollout_phase", static_cast<double>(plan.phase()));
        set("hemlocknotch_gateway_rollout_requests", static_cast<double>(plan.exposure().requests()));
        set("hemlocknotch_gateway_rollout_exposed_requests", static_cast<double>(plan.exposure().exposed()));
        set("hemlocknotch_gateway_rollout_answers", static_cast<double>(candidate.answers));
        set("hemlocknotch_gateway_rollout_bad_answers", static_cast<double>(candidate.bad));
    }
    gauge("hemlocknotch_gateway_registry_era", view_.era());
    gauge("hemlocknotch_gateway_configuration_version", configuration_version());
    const std::chrono::duration<double> age = clock_.now() - follower_.current_as_of();
    metrics_.set("hemlocknotch_gateway_registry_age_seconds", age.count());
    return {ok, metrics_.text()};
}

} // namespace hemlocknotch::daemon
