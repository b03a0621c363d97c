#include "listening_line.hpp"

#include <nlohmann/json.hpp>

namespace hemlocknotch::daemon {

std::string listening_line(std::string_view own, const endpoint_address& own_address,
                           const endpoint_address& operators_address)
{
    nlohmann::ordered_json out;
    out["listening"][std::string{own}] = own_address.to_string();
    out["listening"]["operators"] = operators_address.to_string();
    return out.dump();
}

} // namespace hemlocknotch::daemon
