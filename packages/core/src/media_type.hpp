#pragma once

#include <hemlocknotch/core/message.hpp>

#include <span>
#include <string_view>

namespace hemlocknotch {

/// Returns the value of Content-Type without its parameters (RFC 9110, section 8.3); empty where there is
/// none. Valid as long as `headers`. Thread-safe.
std::string_view media_type_of(std::span<const header_field> headers);

/// Returns whether an answer of media type `b` may go on with one of `a`: they are equal, ignoring case, or
/// one is not stated. Thread-safe.
bool may_continue(std::string_view a, std::string_view b);

} // namespace hemlocknotch
