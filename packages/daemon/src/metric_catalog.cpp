#include "metric_catalog.hpp"

#include <algorithm>
#include <array>

namespace hemlocknotch::daemon {
namespace {

constexpr std::array descriptions{
    metric_description{"hemlocknotch_agent_grants", "Grants given and not yet used, declined or expired."},
    metric_description{"hemlocknotch_agent_tombstones",
                       "Dispatches remembered so that a late copy cannot run."},
    metric_description{"hemlocknotch_agent_waiting_requests", "Requests accepted that do not run yet."},
    metric_description{"hemlocknotch_callers_connected", "Requests of callers that have not ended."},
    metric_description{"hemlocknotch_configuration_errors_total",
                       "Configuration documents that failed their check."},
    metric_description{"hemlocknotch_configuration_revision",
                       "Revision of the configuration in force; 0 for none."},
    metric_description{"hemlocknotch_control_received_bytes_total",
                       "Bytes received on links, bodies of requests and answers excepted."},
    metric_description{"hemlocknotch_control_sent_bytes_total",
                       "Bytes sent on links, bodies of requests and answers excepted."},
    metric_description{"hemlocknotch_effects_total", "Effects that the decisions asked for."},
    metric_description{"hemlocknotch_events_total", "Events that the decisions took in."},
    metric_description{"hemlocknotch_gateway_answered_total", "Requests answered with an endpoint's answer."},
    metric_description{"hemlocknotch_gateway_caller_connections", "Open connections of callers."},
    metric_description{"hemlocknotch_gateway_cancelled_total", "Requests whose callers left."},
    metric_description{"hemlocknotch_gateway_configuration_version",
                       "Version of the configuration in force; 0 for none."},
    metric_description{"hemlocknotch_gateway_connections_given_up_total",
                       "Connections closed to make room for new ones."},
    metric_description{"hemlocknotch_gateway_connections_refused_total",
                       "New connections of callers refused for lack of processor time."},
    metric_description{"hemlocknotch_gateway_is_refusing_connections",
                       "1 while new connections of callers are refused for lack of processor time."},
    metric_description{"hemlocknotch_gateway_endpoint_connections", "Open connections to endpoints."},
    metric_description{"hemlocknotch_gateway_endpoint_connections_opened_total",
                       "Connections opened to endpoints."},
    metric_description{"hemlocknotch_gateway_failed_total",
                       "Requests that may have run and failed, and streams cut."},
    metric_description{"hemlocknotch_gateway_log_lines_left_out_total",
                       "Log lines left out for their budget or a slow reader."},
    metric_description{"hemlocknotch_gateway_loop_delay_seconds",
                       "Time by which timers of the event loop fire late."},
    metric_description{"hemlocknotch_gateway_malformed_total",
                       "Requests that could not be read, and connections refused."},
    metric_description{"hemlocknotch_gateway_open_requests", "Requests that have not ended."},
    metric_description{"hemlocknotch_gateway_blocked_prompt_parts",
                       "Prompt parts and requests that are rejected, because they crash endpoints."},
    metric_description{"hemlocknotch_gateway_others_heard", "Other gateways whose reports are current."},
    metric_description{"hemlocknotch_gateway_refused_total", "Requests refused without having run."},
    metric_description{"hemlocknotch_gateway_registry_age_seconds",
                       "Time since the registry was known to be current."},
    metric_description{"hemlocknotch_gateway_registry_applied_updates_total",
                       "Updates of the registry from other gateways that were applied."},
    metric_description{"hemlocknotch_gateway_registry_calls_total", "Calls to the platform's store."},
    metric_description{"hemlocknotch_gateway_registry_era",
                       "Restores of the store from a copy, as the store counts them."},
    metric_description{"hemlocknotch_gateway_registry_failed_reads_total",
                       "Reads and watches of the store without a usable answer."},
    metric_description{"hemlocknotch_gateway_registry_restores_total",
                       "Restores of the store from a copy that this process has noticed."},
    metric_description{"hemlocknotch_gateway_registry_updates_after_gap_total",
                       "Updates from other gateways ignored because changes before them are missing."},
    metric_description{"hemlocknotch_gateway_request_delay_seconds",
                       "Time from the readiness of a request's event to its handling."},
    metric_description{"hemlocknotch_gateway_request_bytes", "Bytes that callers' requests take."},
    metric_description{"hemlocknotch_gateway_requests_given_up_total",
                       "Requests refused, or not read, to free memory."},
    metric_description{"hemlocknotch_gateway_requests_total", "Requests of callers that could be read."},
    metric_description{"hemlocknotch_gateway_resumed_streams_total",
                       "Streams that went on at another endpoint."},
    metric_description{"hemlocknotch_gateway_rollout_answers",
                       "Answers of the new version in a roll-out, as far as this gateway hears of them."},
    metric_description{"hemlocknotch_gateway_rollout_bad_answers", "Failed and slow ones of these answers."},
    metric_description{"hemlocknotch_gateway_rollout_exposed_requests",
                       "Requests that this gateway sent to the new version in a roll-out."},
    metric_description{"hemlocknotch_gateway_rollout_phase",
                       "Phase of the roll-out: 0 observing, 1 moving, 2 completed, 3 rolled back."},
    metric_description{"hemlocknotch_gateway_rollout_record_writes_failed_total",
                       "Records of roll-outs that the store did not take."},
    metric_description{"hemlocknotch_gateway_rollout_records_written_total",
                       "Records of roll-outs written to the store."},
    metric_description{"hemlocknotch_gateway_rollout_requests",
                       "Requests that this gateway sent to the service of a roll-out since the order."},
    metric_description{"hemlocknotch_gateway_retries_total", "Sends beyond the first of each request."},
    metric_description{"hemlocknotch_gateway_sends_total", "Sends of requests to endpoints."},
    metric_description{"hemlocknotch_gateway_wait_seconds", "Time from a request's arrival to its sending."},
    metric_description{"hemlocknotch_is_ready", "1 where new work is taken, else 0."},
    metric_description{"hemlocknotch_link_body_received_bytes_total",
                       "Bytes of bodies of requests and answers received on links."},
    metric_description{"hemlocknotch_link_body_sent_bytes_total",
                       "Bytes of bodies of requests and answers sent on links."},
    metric_description{"hemlocknotch_links", "Open links."},
    metric_description{"hemlocknotch_message_received_bytes_total",
                       "Bytes received on links, by kind of message, bodies included."},
    metric_description{"hemlocknotch_message_sent_bytes_total",
                       "Bytes sent on links, by kind of message, bodies included."},
    metric_description{"hemlocknotch_messages_received_total", "Messages received on links, by kind."},
    metric_description{"hemlocknotch_messages_sent_total", "Messages sent on links, by kind."},
    metric_description{"hemlocknotch_process_cpu_seconds_total",
                       "Processor time of the process, user and system."},
    metric_description{"hemlocknotch_process_max_descriptors", "Descriptors that the process may open."},
    metric_description{"hemlocknotch_process_open_descriptors", "Descriptors that the process has open."},
    metric_description{"hemlocknotch_process_resident_bytes", "Resident memory of the process."},
    metric_description{"hemlocknotch_refused_by_front_total",
                       "Requests refused before the decisions saw them, by refusal code."},
    metric_description{"hemlocknotch_store_calls_total",
                       "Calls to the key-value service; a waiting watch is a call."},
    metric_description{"hemlocknotch_uptime_seconds", "Time since the start."},
    metric_description{"hemlocknotch_concurrency_limit_requests",
                       "Requests that the endpoint is given at once, as found by now."},
    metric_description{"hemlocknotch_dispatches_total",
                       "Dispatches that have ended at this agent, by verdict."},
    metric_description{"hemlocknotch_endpoint_resumes_total",
                       "Calls that went on with an earlier answer of the endpoint, by service."},
    metric_description{"hemlocknotch_endpoint_seconds", "Time that requests ran at the endpoint."},
    metric_description{"hemlocknotch_first_byte_seconds",
                       "Time from a request's arrival to the first byte of its answer."},
    metric_description{"hemlocknotch_grants_total",
                       "Grants that have ended, by outcome: used, declined, expired."},
    metric_description{"hemlocknotch_outstanding", "Requests that have been dispatched and have not ended."},
    metric_description{"hemlocknotch_part_interval_seconds", "Time between two parts of one answer."},
    metric_description{"hemlocknotch_gateway_account_refusals_total",
                       "Requests refused without having run, by client account."},
    metric_description{"hemlocknotch_gateway_account_requests_total",
                       "Requests on known routes, by client account."},
    metric_description{"hemlocknotch_gateway_endpoint_calls_total", "Sends of requests, by endpoint."},
    metric_description{"hemlocknotch_gateway_endpoint_failures_total",
                       "Calls that ended without an answer, by endpoint."},
    metric_description{
        "hemlocknotch_gateway_prompt_tokens_total",
        "Tokens of prompts sent to endpoints, by whether they are kept there or have to be read."},
    metric_description{
        "hemlocknotch_gateway_discarded_answers_total",
        "Answers of endpoints that belong to another request than the one in progress, or may."},
    metric_description{"hemlocknotch_gateway_streams_not_continued_total",
                       "Answers to resumed requests that do not continue the stream, by endpoint."},
    metric_description{"hemlocknotch_refusals_total", "Refused requests or dispatches, by refusal code."},
    metric_description{"hemlocknotch_request_seconds",
                       "Time from a request's arrival to the end of its answer."},
    metric_description{"hemlocknotch_requests_total", "Requests that have ended, by verdict."},
    metric_description{"hemlocknotch_resolves_total",
                       "Dispatches whose agent was asked after a link change what became of them."},
    metric_description{"hemlocknotch_retries_total", "Executions beyond the first of idempotent requests."},
    metric_description{"hemlocknotch_room_requests",
                       "Free places of the endpoint that are promised to nobody."},
    metric_description{"hemlocknotch_running_requests", "Requests that hold a place of the endpoint."},
    metric_description{"hemlocknotch_stale_messages_total",
                       "Messages about a dispatch that is no longer the current one of its request."},
    metric_description{"hemlocknotch_wait_seconds",
                       "Time that requests waited before their dispatch, by client account."},
    metric_description{"hemlocknotch_waiting", "Requests that have not been dispatched."},
};

constexpr std::array seconds_bounds{0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                    0.25,   0.5,   1.0,    2.5,   5.0,  10.0,  30.0, 60.0};
constexpr std::array bytes_bounds{256.0, 1024.0, 4096.0, 16384.0, 65536.0, 262144.0, 1048576.0, 4194304.0};
constexpr std::array unit_bounds{1.0,   2.0,   5.0,   10.0,   20.0,   50.0,
                                 100.0, 200.0, 500.0, 1000.0, 2000.0, 5000.0};

} // namespace

std::span<const metric_description> metric_descriptions()
{
    return descriptions;
}

std::string_view help_of(std::string_view name)
{
    const auto* it = std::ranges::find(descriptions, name, &metric_description::name);
    return it == descriptions.end() ? std::string_view{"Described in docs/OPERATORS.md."} : it->help;
}

std::span<const double> bucket_bounds_of(std::string_view name)
{
    if (name.ends_with("_seconds")) {
        return seconds_bounds;
    }
    if (name.ends_with("_bytes")) {
        return bytes_bounds;
    }
    return unit_bounds;
}

} // namespace hemlocknotch::daemon
