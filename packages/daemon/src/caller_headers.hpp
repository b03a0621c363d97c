#pragma once

#include <hemlocknotch/core/entry_event.hpp>
#include <hemlocknotch/core/header_name.hpp>
#include <hemlocknotch/core/message.hpp>

#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace hemlocknotch::daemon {

/// Header of a caller's request that cannot be taken.
struct caller_header_error {
    /// Name of the header, what was found and what is allowed, as one sentence.
    std::string detail;
};

/// Reads the headers of a caller's request (docs/INTERFACES.md). Returns an event with the fields that come
/// from headers filled in, and in `headers` those that the endpoint receives; or the first fault found. Pure.
std::variant<caller_request_event, caller_header_error>
read_caller_headers(std::span<const header_field> headers);

/// Returns whether `name` is a hop-by-hop header of RFC 9110 or one that frames the body, which is never
/// passed on. Names are case-insensitive.
bool is_hop_by_hop_header(std::string_view name);

} // namespace hemlocknotch::daemon
