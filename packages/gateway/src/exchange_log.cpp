#include "exchange_log.hpp"

#include <chrono>
#include <string>

namespace hemlocknotch::gateway {

log_effect request_ended_record(const exchange& it, const exchange_end& end, log_level level)
{
    const auto held = std::chrono::duration_cast<std::chrono::milliseconds>(end.at - it.arrived);
    return {level,
            "request-ended",
            {{"request", std::string{it.id_text()}},
             {"status", std::to_string(end.status)},
             {"held_ms", std::to_string(held.count())},
             {"standing", std::string{to_string(it.place.account_share)}},
             {"waiting", std::to_string(end.waiting)},
             {"reason", std::string{end.reason}},
             {"route", it.matched == nullptr ? "" : it.matched->name},
             {"account", it.account},
             {"endpoint", it.instance},
             {"sends", std::to_string(it.attempts)},
             {"executions", std::to_string(it.executions)},
             {"configuration", std::to_string(end.configuration_version)}}};
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
