#include "endpoint_announcements.hpp"

#include "exchange_log.hpp"

#include <string>

namespace hemlocknotch::gateway {

bool endpoint_announcements::note_answer(std::string_view instance, int /*status*/,
                                         const answer_fields& fields, instant now)
{
    auto* endpoint = endpoints_.find(instance);
    if (endpoint == nullptr) {
        return false;
    }
    if (fields.has_unreadable_limit) {
        log_unreadable(instance, "limit");
    }
    else {
        note_limit(*endpoint, fields.request_limit.value_or(0.0), now, {}, now);
    }
    return false;
}

bool endpoint_announcements::apply_report(const fleet_report& report, instant now)
{
    for (const auto& it : report.limits) {
        if (auto* endpoint = endpoints_.find(it.instance)) {
            note_limit(*endpoint, it.requests_per_second, now - it.age, report.gateway, now);
        }
    }
    return false;
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
