#pragma once

#include <string>
#include <string_view>

namespace hemlocknotch::standins {

/// End of the head of an HTTP request.
inline constexpr std::string_view end_of_head = "\r\n\r\n";

/// Returns the value of the header `name`, in the case given, in the head of a request; empty where it is
/// absent. Thread-safe.
std::string header_value(std::string_view head, std::string_view name);

} // namespace hemlocknotch::standins
