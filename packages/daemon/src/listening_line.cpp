#include "listening_line.hpp"

#include <nlohmann/json.hpp>

namespace hemlocknotch::daemon {

std::string listening_line(std::string_view key, const endpoint_address& address,
                           const endpoint_address& operators_address)
{
    nlohmann::ordered_json out;
    out["listening"][std::string{key}] = address.to_string();
    out["listening"]["operators"] = operators_address.to_string();
    return out.dump();
}

} // namespace hemlocknotch::daemon
