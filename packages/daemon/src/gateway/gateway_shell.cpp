#include "gateway_shell.hpp"

#include <boost/leaf/error.hpp>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

/// Time between two reports on roll-outs: a tenth of the shortest time in which a bad version has to get no
/// more requests.
constexpr duration rollout_report_interval = std::chrono::milliseconds{500};
constexpr duration stop_check_interval = std::chrono::milliseconds{200};
/// The same once all requests have ended and only answers are on their way.
constexpr duration exit_check_interval = std::chrono::milliseconds{20};
/// Age at which the view of the registry is refreshed, as a part of the shortest time within which its
/// changes must take effect. The rest covers the jitter of reads, one failed read, and the report to other
/// gateways.
constexpr double view_age_share = 0.4;
/// Age at which the registry is logged as stale, as a part of the same time: two refreshes are overdue.
constexpr double stale_age_share = 0.8;
/// File descriptors that are reserved for files and for sockets other than callers' and endpoints'
/// connections.
constexpr std::size_t reserved_descriptors = 250;
/// Part of the remaining descriptors that callers' connections may use; the rest is for endpoints.
constexpr double caller_descriptor_share = 0.6;

gateway::router_options router_options_of(const gateway_settings& settings, std::uint64_t seed)
{
    gateway::router_options out;
    out.gateway = settings.instance;
    out.retries = {settings.retry_ratio, settings.retry_reserve};
    out.seed = seed;
    out.wait_share = settings.wait_share;
    out.excess_wait_share = settings.excess_wait_share;
    out.share_capacity = settings.share_capacity;
    out.present_headroom = settings.present_headroom;
    out.exposure_share = settings.exposure_share;
    out.answer_bytes = gateway::memory_budget::of(settings.memory).answer_bytes;
    return out;
}

std::size_t max_caller_connections(const gateway_settings& settings)
{
    const auto reserved = std::min(reserved_descriptors, settings.descriptors / 2);
    const auto available = settings.descriptors - reserved;
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(static_cast<double>(available) * caller_descriptor_share));
}

/// Returns the part `share` of the shortest time within which changes of the registry must take effect.
duration part_of_bound(const gateway_settings& settings, double share)
{
    return std::chrono::duration_cast<duration>(std::min(settings.drain_bound, settings.configuration_bound) *
                                                share);
}

registry_follower_options follower_options_of(const gateway_settings& settings)
{
    return {settings.instance, settings.members.value_or(*settings.callers),
            part_of_bound(settings, view_age_share)};
}

} // namespace

gateway_shell::gateway_shell(event_base* base, const gateway_settings& settings,
                             const gateway::message_dialect& dialect, gateway::registry_client& client,
                             gateway::stream_note_store& notes)
    : base_{base},
      settings_{settings},
      dialect_{dialect},
      log_{STDOUT_FILENO, settings.instance, [this] { return clock_.now(); }},
      model_placement_{settings.placement},
      router_{router_options_of(settings, incarnation_), model_placement_, plain_placement_, *this},
      follower_{base,
                client,
                view_,
                follower_options_of(settings),
                [this] { return clock_.now(); },
                [this](const gateway::registry_difference& it) { apply_registry_difference(it); },
                [this](const log_effect& it) { log(it); },
                [this](gateway::registry_update it) { send_update(std::move(it)); },
                [this] {
                    fetcher_.fetch({view_.position(), view_.configuration_version()});
                }},
      fetcher_{base, settings.seeds,
               [this](const gateway::registry_update& it) { follower_.apply_snapshot(it); }},
      registry_client_{client},
      signature_blocks_{client, router_.breaker()},
      stream_notes_{notes, router_.origins(), settings.instance + "/" + std::to_string(incarnation_) + "/"},
      rollouts_{client, router_.rollouts(), [this] { return clock_.now(); },
                [this] {
                    router_.on_timer(clock_.now());
                    schedule_router_timer();
                }},
      callers_{base,
               dialect,
               max_caller_connections(settings),
               *this,
               router_.memory_of_answers(),
               gateway::memory_budget::of(settings.memory).request_bytes},
      pool_{base, dialect, *this, router_.memory_of_answers(), [this] { return clock_.now(); }},
      readiness_server_{
          base, [this](std::string_view path, std::string_view /*query*/) { return readiness_page(path); }},
      metrics_server_{
          base, [this](std::string_view path, std::string_view /*query*/) { return metrics_page(path); }},
      registry_server_{
          base, [this](std::string_view path, std::string_view query) { return registry_page(path, query); }},
      reports_{
          base,
          [this] { return clock_.now(); },
          [this](const gateway::fleet_report& it, const endpoint_address& from) { apply_report(it, from); },
          [this](const gateway::registry_update& it) { apply_update(it); },
          [this](const gateway::stream_report& it) { router_.apply_stream_report(it, clock_.now()); },
          [this](const gateway::rollout_report& it) { apply_rollout_report(it); }},
      peers_{settings.instance},
      report_timer_{base, [this] { send_report(); }},
      rollout_timer_{base, [this] { update_rollouts(); }},
      router_timer_{base,
                    [this] {
                        router_.on_timer(clock_.now());
                        schedule_router_timer();
                    },
                    event_priority::request},
      request_delay_{
          base, [this] { return clock_.now(); },
          [this](duration it) { record_seconds("hemlocknotch_gateway_request_delay_seconds", it); },
          [this] { check_overload(); }},
      registry_age_{part_of_bound(settings, stale_age_share), [this](const log_effect& it) { log(it); }},
      stop_schedule_{settings.stop_grace},
      stop_timer_{base, [this] { continue_stop(); }}
{
}

gateway_shell::~gateway_shell() = default;

boost::leaf::result<endpoint_address> gateway_shell::start()
{
    if (auto it = listen(); !it) {
        return it.error();
    }
    // Last, so that no caller waits for a gateway that cannot start.
    BOOST_LEAF_AUTO(callers, callers_.listen(*settings_.callers));
    if (settings_.members) {
        schedule_report();
    }
    log({log_level::info,
         "started",
         {{"failure_domain", settings_.failure_domain},
          {"callers", callers.to_string()},
          {"descriptors", std::to_string(settings_.descriptors)},
          {"max_caller_connections", std::to_string(max_caller_connections(settings_))}}});
    follower_.start();
    update_stream_notes();
    rollout_timer_.start(rollout_report_interval);
    request_delay_.start();
    return callers;
}

void gateway_shell::reload()
{
    log({log_level::info, "settings-read-again", {}});
}

void gateway_shell::stop()
{
    if (stop_requested_at_ != instant::max()) {
        return;
    }
    stop_requested_at_ = clock_.now();
    log({log_level::info, "stopping", {{"open_requests", std::to_string(callers_.serving_count())}}});
    callers_.begin_stop();
    stop_timer_.start(stop_schedule_.end_of_intake());
}

void gateway_shell::continue_stop()
{
    const auto now = clock_.now();
    const auto passed = now - stop_requested_at_;
    if (!std::exchange(has_intake_ended_, true)) {
        router_.begin_stop(stop_requested_at_ + stop_schedule_.end_of_requests(), now);
        schedule_router_timer();
    }
    callers_.close_idle_connections();
    if (passed >= stop_schedule_.end_of_requests() && !std::exchange(have_requests_ended_, true)) {
        log({log_level::info,
             "ending-requests",
             {{"open_requests", std::to_string(router_.exchange_count())}}});
        router_.end_all(now);
        send_stream_report();
        follower_.leave();
    }
    const auto is_idle = callers_.serving_count() == 0 && callers_.connection_count() == 0;
    if (is_idle || passed >= stop_schedule_.end_of_process()) {
        follower_.leave();
        log({log_level::info, "stopped", {{"connections", std::to_string(callers_.connection_count())}}});
        event_base_loopbreak(base_);
        return;
    }
    const auto until_end = stop_schedule_.end_of_requests() - passed;
    stop_timer_.start(have_requests_ended_ ? exit_check_interval : std::min(stop_check_interval, until_end));
}

void gateway_shell::apply_registry_difference(const gateway::registry_difference& difference)
{
    const auto now = clock_.now();
    if (difference.has_out_of_service) {
        const auto domains = view_.out_of_service();
        log({log_level::info, "failure-domains-out-of-service", {{"count", std::to_string(domains.size())}}});
        router_.set_out_of_service(domains);
    }
    if (difference.has_members) {
        const auto members = view_.members();
        peers_.set_registered(members);
        log({log_level::info,
             "members-changed",
             {{"count", std::to_string(members.size())}, {"heard", std::to_string(peers_.heard_count())}}});
        update_gateway_count();
    }
    if (difference.has_configuration) {
        const auto configuration = view_.configuration();
        log({log_level::info,
             "configuration-taken",
             {{"version", std::to_string(configuration->version())},
              {"revision", std::to_string(view_.revision())}}});
        callers_.set_limits(configuration->document().limits);
        router_.set_configuration(configuration, now);
    }
    if (difference.has_signature_blocks) {
        router_.set_registered_blocks(view_.signature_blocks(), difference.lifted_signatures, now);
    }
    if (difference.has_rollouts) {
        router_.set_registered_rollouts(view_.rollouts(), now);
        rollouts_.update();
    }
    if (difference.has_endpoints) {
        const auto records = view_.endpoints();
        log({log_level::info, "endpoints-changed", {{"count", std::to_string(records.size())}}});
        router_.set_endpoints(records, now);
    }
    schedule_router_timer();
}

void gateway_shell::send_report()
{
    const auto now = clock_.now();
    const auto silent = peers_.remove_silent(now);
    for (const auto& it : silent) {
        router_.remove_gateway(it);
    }
    if (!silent.empty()) {
        update_gateway_count();
    }
    auto report = router_.create_report(now);
    report.gateway = settings_.instance;
    report.incarnation = incarnation_;
    report.sequence = ++report_sequence_;
    reports_.send(report, peers_.addresses());
    send_stream_report();
    signature_blocks_.update(now);
    update_stream_notes();
    check_health();
    schedule_report();
}

void gateway_shell::send_stream_report()
{
    auto report = router_.create_stream_report(clock_.now());
    report.gateway = settings_.instance;
    reports_.send(report, peers_.addresses());
}

void gateway_shell::update_stream_notes()
{
    stream_notes_.update([this] { return clock_.now(); });
}

void gateway_shell::update_rollouts()
{
    rollout_timer_.start(rollout_report_interval);
    auto& table = router_.rollouts();
    if (table.all().empty()) {
        return;
    }
    rollouts_.update();
    const auto now = clock_.now();
    if (const auto report = table.create_report(now); !report.services.empty()) {
        reports_.send(report, peers_.addresses_of(table.judges(now)));
    }
}

void gateway_shell::apply_rollout_report(const gateway::rollout_report& report)
{
    router_.apply_rollout_report(report, clock_.now());
    schedule_router_timer();
}

void gateway_shell::schedule_report()
{
    const auto interval = gateway::report_interval(peers_.addresses().size());
    report_due_ = clock_.now() + interval;
    report_timer_.start(interval);
}

void gateway_shell::send_urgent_report()
{
    if (router_.breaker().take_urgency()) {
        report_timer_.start(duration::zero());
    }
    if (router_.take_stream_urgency()) {
        send_stream_report();
    }
    if (router_.rollouts().take_urgency()) {
        reports_.send(router_.rollouts().create_report(clock_.now()), peers_.addresses());
        rollouts_.update();
    }
}

void gateway_shell::check_health()
{
    const auto now = clock_.now();
    const auto loop_delay = std::max(duration::zero(), now - report_due_);
    record_seconds("hemlocknotch_gateway_loop_delay_seconds", loop_delay);
    if (const auto record = router_.accounts().take_record(now)) {
        log(*record);
    }
    registry_age_.check({.as_of = follower_.current_as_of(),
                         .revision = view_.revision(),
                         .is_store_reachable = follower_.is_reachable(),
                         .loop_delay = loop_delay},
                        now);
}

void gateway_shell::check_overload()
{
    auto& overload = callers_.overload();
    const auto was_late = overload.is_late();
    overload.note(request_delay_.delay(), clock_.now());
    if (overload.is_late() == was_late) {
        return;
    }
    log({was_late ? log_level::info : log_level::warning,
         was_late ? "requests-read-in-time" : "requests-read-late",
         {{"delay_ms", milliseconds_text(request_delay_.delay())},
          {"connections_refused", std::to_string(overload.refused())},
          {"open_requests", std::to_string(router_.exchange_count())},
          {"connections", std::to_string(callers_.connection_count())}}});
}

void gateway_shell::record_seconds(std::string_view metric, duration value)
{
    metrics_.record({metric_kind::histogram, metric, {}, {}, std::chrono::duration<double>(value).count()});
}

void gateway_shell::send_update(gateway::registry_update update)
{
    if (settings_.registry) {
        update.registry_page = settings_.registry->to_string();
    }
    reports_.send(std::move(update), peers_.addresses());
}

void gateway_shell::apply_update(const gateway::registry_update& update)
{
    if (const auto page = endpoint_address::parse(update.registry_page)) {
        fetcher_.set_latest(*page);
    }
    follower_.apply_update(update);
}

void gateway_shell::update_gateway_count()
{
    router_.set_gateways(peers_.gateway_count());
}

void gateway_shell::apply_report(const gateway::fleet_report& report, const endpoint_address& from)
{
    const auto now = clock_.now();
    if (peers_.note_heard(report.gateway, from, now)) {
        update_gateway_count();
    }
    router_.apply_report(report, now);
    follower_.note_configuration(report.configuration_version, report.gateway);
    schedule_router_timer();
}

void gateway_shell::schedule_router_timer()
{
    send_urgent_report();
    const auto now = clock_.now();
    const auto at = router_.next_due(now);
    if (at == instant::max()) {
        router_timer_.stop();
    }
    else {
        router_timer_.start(at - now);
    }
}

void gateway_shell::log(const log_effect& record)
{
    log_.write_state(record);
}

void gateway_shell::on_request(gateway::exchange_id exchange,
                               std::shared_ptr<const gateway::caller_request> request)
{
    router_.on_request(exchange, std::move(request), clock_.now());
    schedule_router_timer();
}

void gateway_shell::on_caller_disconnected(gateway::exchange_id exchange)
{
    router_.on_caller_disconnected(exchange, clock_.now());
    schedule_router_timer();
}

void gateway_shell::on_caller_drained(gateway::exchange_id exchange)
{
    router_.on_caller_drained(exchange);
}

void gateway_shell::on_malformed(int status, std::string_view reason)
{
    ++malformed_count_;
    if (wants_log(log_level::warning)) {
        log_.write({log_level::warning,
                    "request-malformed",
                    {{"status", std::to_string(status)}, {"reason", std::string{reason}}}});
    }
}

void gateway_shell::on_connected(gateway::call_id call)
{
    router_.on_connected(call, clock_.now());
    schedule_router_timer();
}

void gateway_shell::on_head(gateway::call_id call, gateway::answer_head head,
                            const gateway::answer_fields& fields)
{
    router_.on_head(call, std::move(head), fields, clock_.now());
    schedule_router_timer();
}

void gateway_shell::on_part(gateway::call_id call, std::string_view bytes)
{
    router_.on_part(call, bytes, clock_.now());
    send_urgent_report();
}

void gateway_shell::on_end(gateway::call_id call, gateway::call_outcome outcome)
{
    router_.on_end(call, outcome, clock_.now());
    schedule_router_timer();
}

void gateway_shell::on_discarded(const endpoint_address& from, const discarded_answer& answer)
{
    ++discarded_count_;
    if (wants_log(log_level::error)) {
        log_.write({log_level::error,
                    "answer-discarded",
                    {{"address", from.to_string()},
                     {"status", std::to_string(answer.status)},
                     {"request", std::string{answer.expected_id}},
                     {"answers_request", std::string{answer.received_id}}}});
    }
}

} // namespace hemlocknotch::daemon
