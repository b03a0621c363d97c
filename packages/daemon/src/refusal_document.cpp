#include "refusal_document.hpp"

#include <nlohmann/json.hpp>

#include <chrono>

namespace hemlocknotch::daemon {

std::string refusal_document(const request_id& id, const refusal& reason, std::string_view detail)
{
    nlohmann::ordered_json out;
    out["code"] = to_string(reason.code);
    out["verdict"] = to_string(reason.outcome);
    out["message"] = description_of(reason.code);
    out["remedy"] = remedy_of(reason.code);
    out["detail"] = detail;
    out["request_id"] = id.to_string();
    return out.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string retry_after_of(const refusal& reason)
{
    if (reason.retry_after <= duration::zero()) {
        return {};
    }
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(reason.retry_after).count());
}

} // namespace hemlocknotch::daemon
