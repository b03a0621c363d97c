#include <hemlocknotch/gateway/router.hpp>
#include <hemlocknotch/gateway/stream_origins.hpp>

#include "call_table.hpp"
#include "caller_answers.hpp"
#include "exchange.hpp"
#include "exchange_table.hpp"
#include "fleet_reports.hpp"
#include "retry_after.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

constexpr int status_unavailable = 503;

} // namespace

bool router::refuse_take_up(exchange& it, instant now)
{
    const auto& fields = it.request->fields;
    if (it.matched->kind != request_kind::streaming || !it.matched->is_resumable) {
        return false;
    }
    if (const auto& timeout = fields.caller_timeout) {
        origins_->note_lifetime(*timeout);
    }
    if (fields.last_event_id.empty()) {
        return false;
    }
    origins_->note_registry(port_.registry_as_of(), now);
    it.stream_version = origins_->version_of(it.service, fields.resumed_request_id, now);
    if (!it.stream_version) {
        refuse(it, status_unavailable, "stream-version-unknown", min_retry_after, now);
        return true;
    }
    if (!may_continue_at(it.service, *it.stream_version)) {
        refuse(it, status_unavailable, "stream-version-left", duration::zero(), now);
        return true;
    }
    return false;
}

std::vector<std::string> router::versions_to_avoid(const exchange& it, instant now) const
{
    const auto begins_stream = it.matched->is_resumable && !it.stream_version;
    return begins_stream && reports_->gateways() > 1 ? origins_->unsettled_versions(it.service, now)
                                                     : std::vector<std::string>{};
}

void router::note_stream_begun(exchange& it, instant now)
{
    const auto* endpoint = endpoints_.find(it.instance);
    const auto is_same_start = endpoint != nullptr &&
                               endpoint->record.started_at_ms == it.endpoint_started_at_ms &&
                               endpoint->record.software_version == it.endpoint_version;
    // An endpoint that has left the registry meanwhile was still the one that the call was meant for.
    const auto is_known = endpoint == nullptr || is_same_start;
    if (!it.stream_version) {
        it.stream_version = is_known ? it.endpoint_version : std::string{};
    }
    if (!it.matched->is_resumable || it.stream_version->empty()) {
        return;
    }
    const auto& fields = it.request->fields;
    const auto ends_at = fields.caller_timeout ? it.arrived + *fields.caller_timeout : it.ends_at;
    origins_->note_begun(it.service, it.id_text(), *it.stream_version, ends_at, now);
    if (!fields.last_event_id.empty() && !fields.resumed_request_id.empty()) {
        origins_->note_begun(it.service, fields.resumed_request_id, *it.stream_version, ends_at, now);
    }
}

stream_report router::create_stream_report(instant now)
{
    origins_->note_registry(port_.registry_as_of(), now);
    return origins_->create_report(now);
}

void router::apply_stream_report(const stream_report& report, instant now)
{
    origins_->apply_report(report, now);
}

bool router::take_stream_urgency()
{
    return std::exchange(is_stream_report_due_, false);
}

} // namespace hemlocknotch::gateway
