#include "endpoint_announcements.hpp"

#include "exchange_log.hpp"

#include <string>

namespace hemlocknotch::gateway {
namespace {

constexpr int first_failure = 400;
constexpr int status_misdirected = 421;

} // namespace

bool endpoint_announcements::note_answer(std::string_view instance, int status, const answer_fields& fields,
                                         instant now)
{
    auto* endpoint = endpoints_.find(instance);
    if (endpoint == nullptr) {
        return false;
    }
    if (status == status_misdirected) {
        // The answer is that of the endpoint that has the address now.
        endpoint = endpoints_.find_other_at(endpoint->record.address, instance);
        return endpoint != nullptr && fields.is_leaving && note_leaving(*endpoint, {}, now);
    }
    if (fields.has_unreadable_load) {
        log_unreadable(instance, "load");
    }
    if (fields.has_unreadable_pause) {
        log_unreadable(instance, "pause");
    }
    if (fields.pause) {
        note_pause(*endpoint, *fields.pause, {}, now);
    }
    else if (status < first_failure && now >= endpoint->paused_until) {
        endpoint->is_resuming = false;
    }
    const auto is_news = fields.is_leaving && note_leaving(*endpoint, {}, now);
    if (fields.has_unreadable_limit) {
        log_unreadable(instance, "limit");
    }
    else {
        note_limit(*endpoint, fields.request_limit.value_or(0.0), now, {}, now);
    }
    return is_news;
}

bool endpoint_announcements::apply_report(const fleet_report& report, instant now)
{
    for (const auto& it : report.limits) {
        if (auto* endpoint = endpoints_.find(it.instance)) {
            note_limit(*endpoint, it.requests_per_second, now - it.age, report.gateway, now);
        }
    }
    for (const auto& it : report.pauses) {
        if (auto* endpoint = endpoints_.find(it.instance)) {
            note_pause(*endpoint, it.remaining, report.gateway, now);
        }
    }
    bool is_news = false;
    for (const auto& it : report.leaving) {
        auto* endpoint = endpoints_.find(it.instance);
        if (endpoint != nullptr && endpoint->record.started_at_ms == it.started_at_ms) {
            is_news = note_leaving(*endpoint, report.gateway, now) || is_news;
        }
    }
    return is_news;
}

void endpoint_announcements::note_pause(endpoint_state& endpoint, duration length, std::string_view source,
                                        instant now)
{
    const auto was_paused = endpoint.paused_until > now;
    if (endpoint_table::note_pause(endpoint, length, now) && !was_paused) {
        port_.write_state_log({log_level::warning,
                               "endpoint-paused",
                               {{"endpoint", endpoint.record.instance},
                                {"asked_ms", milliseconds_text(length)},
                                {"for_ms", milliseconds_text(endpoint.paused_until - now)},
                                {"source", std::string{source}}}});
    }
    endpoint.is_pause_own = endpoint.is_pause_own || source.empty();
}

bool endpoint_announcements::note_leaving(endpoint_state& endpoint, std::string_view source, instant now)
{
    if (!endpoints_.note_leaving(endpoint, now)) {
        return false;
    }
    port_.write_state_log({log_level::info,
                           "endpoint-leaving",
                           {{"endpoint", endpoint.record.instance}, {"source", std::string{source}}}});
    return true;
}

void endpoint_announcements::note_limit(endpoint_state& endpoint, double requests_per_second,
                                        instant observed_at, std::string_view source, instant now)
{
    const auto before = endpoint.limit.requests_per_second;
    if (endpoints_.note_limit(endpoint, requests_per_second, observed_at, source.empty(), now)) {
        port_.write_state_log(endpoint_limit_record(endpoint.record.instance, before,
                                                    endpoint.limit.requests_per_second, source));
    }
}

void endpoint_announcements::log_unreadable(std::string_view instance, std::string_view field)
{
    if (port_.wants_log(log_level::warning)) {
        port_.write_log({log_level::warning,
                         "endpoint-field-unreadable",
                         {{"endpoint", std::string{instance}}, {"field", std::string{field}}}});
    }
}

} // namespace hemlocknotch::gateway
