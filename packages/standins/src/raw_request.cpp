#include "raw_request.hpp"

namespace hemlocknotch::standins {

std::string header_value(std::string_view head, std::string_view name)
{
    const auto key = "\r\n" + std::string{name} + ": ";
    const auto at = head.find(key);
    if (at == std::string_view::npos) {
        return {};
    }
    const auto value = head.substr(at + key.size());
    return std::string{value.substr(0, value.find('\r'))};
}

} // namespace hemlocknotch::standins
