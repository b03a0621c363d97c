#include "exchange_log.hpp"

#include <string>

namespace hemlocknotch::gateway {
log_effect request_ended_record(const exchange& it, const exchange_end& end, log_level level)
{
    return {level,
            "request-ended",
            {{"request", std::string{it.id_text()}},
             {"status", std::to_string(end.status)},
             {"held_ms", milliseconds_text(end.at - it.arrived)},
             {"standing", std::string{to_string(it.placement_input.account_share)}},
             {"waiting", std::to_string(end.waiting)},
             {"reason", std::string{end.reason}},
             {"route", it.matched == nullptr ? "" : it.matched->name},
             {"account", it.account},
             {"endpoint", it.instance},
             {"sends", std::to_string(it.attempts)},
             {"executions", std::to_string(it.executions)},
             {"configuration", std::to_string(end.configuration_version)},
             {"registry_age_ms",
              end.registry_age < duration::zero() ? "" : milliseconds_text(end.registry_age)}}};
}

log_effect call_failed_record(const exchange& it, bool was_reached)
{
    return {log_level::warning,
            "call-failed",
            {{"request", std::string{it.id_text()}},
             {"endpoint", it.instance},
             {"outcome", was_reached ? "broken" : "not-connected"},
             {"events", it.events.last_id()},
             {"sends", std::to_string(it.attempts)}}};
}

} // namespace hemlocknotch::gateway
