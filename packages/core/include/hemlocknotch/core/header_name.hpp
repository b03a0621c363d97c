#pragma once

#include <string_view>

namespace hemlocknotch {

/// Returns whether `a` and `b` are the same header name, ignoring case (RFC 9110, section 5.1). Thread-safe.
bool is_same_header(std::string_view a, std::string_view b);

} // namespace hemlocknotch
