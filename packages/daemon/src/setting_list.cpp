#include "setting_description.hpp"

#include <array>

namespace hemlocknotch::daemon {
namespace {

constexpr double hour_ms = 3'600'000;
constexpr double megabyte = 1U << 20U;
constexpr double gigabyte = 1U << 30U;

// A function without captures that gives the place of a setting. One line a setting keeps the table readable.
#define PLACE(type, member) +[](settings& s) -> type& { return s.member; }

using address = std::optional<endpoint_address>;

constexpr std::array descriptions{
    setting_description{.path = "name", .field = PLACE(std::string, name), .is_required = true,
                        .meaning = "Name of this process, the same as in the instance list. Unique."},
    setting_description{.path = "failure_domain", .field = PLACE(std::string, failure_domain),
                        .is_required = true, .meaning = "Failure domain that this instance stands in."},
    setting_description{.path = "callers_address", .scope = setting_scope::entry,
                        .field = PLACE(address, callers_address), .is_required = true,
                        .meaning = "Where callers' requests are taken."},
    setting_description{.path = "links_address", .scope = setting_scope::agent,
                        .field = PLACE(address, links_address), .is_required = true,
                        .meaning = "Where links from entries are taken; the instance list tells it to them."},
    setting_description{.path = "operators_address", .field = PLACE(address, operators_address),
                        .is_required = true,
                        .meaning = "Where health, readiness, metrics and status are answered."},
    setting_description{.path = "key_value_service", .field = PLACE(address, key_value_service),
                        .is_required = true, .meaning = "The platform's key-value service."},
    setting_description{.path = "instance_list", .field = PLACE(address, instance_list),
                        .is_required = true, .meaning = "The platform's instance list."},
    setting_description{.path = "service", .scope = setting_scope::agent,
                        .field = PLACE(std::string, agent.service), .is_required = true,
                        .meaning = "Service of the configuration that the endpoint serves."},
    setting_description{.path = "endpoint.address", .scope = setting_scope::agent,
                        .field = PLACE(address, endpoint_at), .is_required = true,
                        .meaning = "The endpoint that this agent stands beside."},
    setting_description{.path = "endpoint.kind", .scope = setting_scope::agent,
                        .field = PLACE(std::string, endpoint_kind_name), .choices = "engine|plain",
                        .meaning = "Whether the endpoint resumes and cancels streams and tells cache events "
                                   "(engine) or only executes requests (plain)."},
    setting_description{.path = "endpoint.checks_fencing", .scope = setting_scope::agent,
                        .field = PLACE(bool, is_fencing_checked),
                        .meaning = "Whether the engine refuses an order with an old fencing number. Where it "
                                   "does not, the predecessor's lease is waited out."},
    setting_description{.path = "log.level", .field = PLACE(std::string, log_level),
                        .choices = "debug|info|warning|error",
                        .meaning = "Lowest level of log lines that are written. Read again on SIGHUP."},
    setting_description{.path = "log.format", .field = PLACE(std::string, log_format),
                        .choices = "json|text", .meaning = "Form of the log lines on stderr."},
    setting_description{.path = "trace_output", .field = PLACE(std::string, trace_output),
                        .meaning = "Where spans are written as JSON lines: the path of a file, stderr, or "
                                   "nowhere where empty."},
    setting_description{.path = "fair_order", .scope = setting_scope::agent,
                        .field = PLACE(std::string, fair_order_name), .choices = "damped|fleet|local|random",
                        .meaning = "Which client account is served next: by damped fleet-wide counters "
                                   "(damped), or by a baseline for measurements: fleet-wide counters as they "
                                   "come (fleet), this agent's counters alone (local), chance (random)."},
    setting_description{.path = "concurrency.initial", .scope = setting_scope::agent,
                        .field = PLACE(std::uint32_t, agent.initial_limit), .least = 1, .most = 4096,
                        .meaning = "Requests that a cold endpoint is given at once."},
    setting_description{.path = "concurrency.max", .scope = setting_scope::agent,
                        .field = PLACE(std::uint32_t, agent.max_limit), .least = 1, .most = 4096,
                        .meaning = "Requests that the endpoint is given at once at the most."},
    setting_description{.path = "concurrency.fixed", .scope = setting_scope::agent,
                        .field = PLACE(bool, agent.is_limit_fixed),
                        .meaning = "Give concurrency.max requests from the start and never fewer."},
    setting_description{.path = "limits.max_waiting", .scope = setting_scope::entry,
                        .field = PLACE(std::size_t, entry.max_waiting), .least = 1, .most = 1'000'000,
                        .meaning = "Waiting requests in all."},
    setting_description{.path = "limits.max_waiting_per_account", .scope = setting_scope::entry,
                        .field = PLACE(std::size_t, entry.max_waiting_per_account), .least = 1,
                        .most = 1'000'000, .meaning = "Waiting requests of one client account."},
    setting_description{.path = "limits.max_held_bytes", .scope = setting_scope::entry,
                        .field = PLACE(std::size_t, entry.max_held_bytes), .least = megabyte,
                        .most = 16 * gigabyte, .meaning = "Bodies of requests held in all."},
    setting_description{.path = "limits.max_body_bytes", .scope = setting_scope::entry,
                        .field = PLACE(std::size_t, max_body_bytes), .least = 1024, .most = 24 * megabyte,
                        .meaning = "Largest body of a request; profiles bound theirs further."},
    setting_description{.path = "limits.max_header_bytes", .scope = setting_scope::entry,
                        .field = PLACE(std::size_t, max_header_bytes), .least = 1024, .most = megabyte,
                        .meaning = "Largest request line and headers of a request."},
    setting_description{.path = "limits.caller_idle_limit_ms", .scope = setting_scope::entry,
                        .field = PLACE(duration, caller_idle_limit), .least = 1000, .most = hour_ms,
                        .meaning = "A caller's connection on which nothing moves for this long is closed, "
                                   "except while its request waits."},
    setting_description{.path = "limits.reply_window_bytes", .scope = setting_scope::entry,
                        .field = PLACE(std::size_t, entry.reply_window_bytes), .least = 4096,
                        .most = gigabyte,
                        .meaning = "Bytes of an answer that may be ahead of what its caller has taken."},
    setting_description{.path = "limits.agents_per_service", .scope = setting_scope::entry,
                        .field = PLACE(std::size_t, entry.agents_per_service), .least = 1, .most = 4096,
                        .meaning = "Agents of each service that this entry links to."},
    setting_description{.path = "limits.retry_share", .scope = setting_scope::entry,
                        .field = PLACE(double, entry.retry_share), .least = 0, .most = 1,
                        .meaning = "Executions beyond the first for each request, on average over recent "
                                   "ones."},
    setting_description{.path = "limits.retry_backoff_ms", .scope = setting_scope::entry,
                        .field = PLACE(duration, entry.retry_backoff), .least = 1, .most = 60'000,
                        .meaning = "Time before a failed idempotent request is tried again."},
    setting_description{.path = "limits.demand_interval_ms", .scope = setting_scope::entry,
                        .field = PLACE(duration, entry.demand_interval), .least = 1, .most = 10'000,
                        .meaning = "Demand is told at most this often to each agent."},
    setting_description{.path = "limits.reconnect_backoff_ms", .scope = setting_scope::entry,
                        .field = PLACE(duration, entry.reconnect_backoff), .least = 1, .most = 60'000,
                        .meaning = "First time between two tries to open a link."},
    setting_description{.path = "limits.reconnect_backoff_limit_ms", .scope = setting_scope::entry,
                        .field = PLACE(duration, entry.reconnect_backoff_limit), .least = 1, .most = hour_ms,
                        .meaning = "Longest time between two tries to open a link."},
    setting_description{.path = "limits.resolve_limit_ms", .scope = setting_scope::entry,
                        .field = PLACE(duration, entry.resolve_limit), .least = 100, .most = hour_ms,
                        .meaning = "A dispatch of which its agent can tell nothing for this long is given "
                                   "up."},
    setting_description{.path = "limits.claim_tries", .scope = setting_scope::entry,
                        .field = PLACE(std::uint32_t, claim_tries), .least = 1, .most = 100,
                        .meaning = "Calls made to claim one Idempotency-Key."},
    setting_description{.path = "limits.claim_retry_delay_ms", .scope = setting_scope::entry,
                        .field = PLACE(duration, claim_retry_delay), .least = 1, .most = 10'000,
                        .meaning = "Time between two of these calls, times their number."},
    setting_description{.path = "limits.grant_time_to_live_ms", .scope = setting_scope::agent,
                        .field = PLACE(duration, agent.grant_time_to_live), .least = 10, .most = 60'000,
                        .meaning = "Time for which a place is kept for a request that was asked for."},
    setting_description{.path = "limits.grants_ahead", .scope = setting_scope::agent,
                        .field = PLACE(std::uint32_t, agent.grants_ahead), .least = 0, .most = 4096,
                        .meaning = "Requests asked for beyond the free places."},
    setting_description{.path = "limits.health_interval_ms", .scope = setting_scope::agent,
                        .field = PLACE(duration, agent.health_interval), .least = 50, .most = 60'000,
                        .meaning = "Time between two looks at the endpoint's health page."},
    setting_description{.path = "limits.cache_events_interval_ms", .scope = setting_scope::agent,
                        .field = PLACE(duration, cache_events_interval), .least = 50, .most = 60'000,
                        .meaning = "Time between two looks at an engine's cache events."},
    setting_description{.path = "limits.endpoint_silence_limit_ms", .scope = setting_scope::agent,
                        .field = PLACE(duration, agent.endpoint_silence_limit), .least = 50, .most = hour_ms,
                        .meaning = "The endpoint's connection is replaced after this long without bytes "
                                   "while a call runs."},
    setting_description{.path = "limits.max_resumes", .scope = setting_scope::agent,
                        .field = PLACE(std::uint32_t, agent.max_resumes), .least = 0, .most = 1000,
                        .meaning = "Calls resumed at the endpoint for one request."},
    setting_description{.path = "limits.answer_kept_ms", .scope = setting_scope::agent,
                        .field = PLACE(duration, agent.answer_kept), .least = 100, .most = hour_ms,
                        .meaning = "An answer whose entry is gone is kept for this long."},
    setting_description{.path = "limits.tombstone_kept_ms", .scope = setting_scope::agent,
                        .field = PLACE(duration, agent.tombstone_kept), .least = 1000, .most = 24 * hour_ms,
                        .meaning = "The id of a request that was refused or has ended is kept for this "
                                   "long, so that a late copy does not run."},
    setting_description{.path = "limits.max_tombstones", .scope = setting_scope::agent,
                        .field = PLACE(std::size_t, agent.max_tombstones), .least = 16, .most = 100'000'000,
                        .meaning = "Such ids kept at the most."},
    setting_description{.path = "limits.max_answer_bytes", .scope = setting_scope::agent,
                        .field = PLACE(std::size_t, agent.max_answer_bytes), .least = 1024,
                        .most = 16 * gigabyte, .meaning = "Largest answer that is held for its entry."},
    setting_description{.path = "limits.send_window_bytes", .scope = setting_scope::agent,
                        .field = PLACE(std::size_t, agent.send_window_bytes), .least = 4096,
                        .most = gigabyte,
                        .meaning = "Bytes of an answer that may be ahead of the entry's acknowledgement."},
    setting_description{.path = "limits.watchers_per_domain",
                        .field = PLACE(std::size_t, entry.watchers_per_domain), .least = 1, .most = 1000,
                        .meaning = "Processes of each failure domain that watch the configuration in the "
                                   "key-value service. The same in all processes."},
    setting_description{.path = "limits.report_interval_ms", .field = PLACE(duration, entry.report_interval),
                        .least = 10, .most = 60'000,
                        .meaning = "Time between two reports of service on a link."},
    setting_description{.path = "limits.heartbeat_interval_ms",
                        .field = PLACE(duration, entry.heartbeat_interval), .least = 10, .most = 60'000,
                        .meaning = "Time between two heartbeats on a link on which nothing else is sent."},
    setting_description{.path = "limits.silence_limit_ms", .field = PLACE(duration, entry.silence_limit),
                        .least = 20, .most = hour_ms,
                        .meaning = "A link on which nothing has come for this long is replaced."},
    setting_description{.path = "limits.out_of_reach_limit_ms",
                        .field = PLACE(duration, entry.out_of_reach_limit), .least = 100, .most = hour_ms,
                        .meaning = "Without contact to the key-value service and to another failure domain "
                                   "for this long, no new work is taken."},
    setting_description{.path = "limits.stop_limit_ms", .field = PLACE(duration, entry.stop_limit),
                        .least = 100, .most = 24 * hour_ms,
                        .meaning = "Time that a planned stop may take."},
    setting_description{.path = "limits.store_call_limit_ms", .field = PLACE(duration, store_call_limit),
                        .least = 10, .most = 60'000,
                        .meaning = "A call to the platform without an answer for this long has failed."},
    setting_description{.path = "limits.store_watch_limit_ms", .field = PLACE(duration, store_watch_limit),
                        .least = 1000, .most = hour_ms,
                        .meaning = "Time that one watch of the configuration waits at the service."},
    setting_description{.path = "limits.instance_list_interval_ms",
                        .field = PLACE(duration, instance_list_interval), .least = 50, .most = hour_ms,
                        .meaning = "Mean time between two looks at the instance list."},
};

#undef PLACE

} // namespace

std::span<const setting_description> setting_descriptions()
{
    return descriptions;
}

} // namespace hemlocknotch::daemon
