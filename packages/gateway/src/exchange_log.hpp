#pragma once

#include <hemlocknotch/core/log_record.hpp>

#include "exchange.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hemlocknotch::gateway {

/// How a request ended, and what else was known then.
struct exchange_end {
    /// Status that the caller got; 0: none.
    int status = 0;
    std::string_view reason;
    instant at;
    /// Requests that waited for the same service.
    std::size_t waiting = 0;
    /// Version of the configuration in force; 0: none.
    std::uint64_t configuration_version = 0;
};

/// Returns the line of a request's end.
log_effect request_ended_record(const exchange& it, const exchange_end& end, log_level level);

/// Returns the line of a call that brought no whole answer.
log_effect call_failed_record(const exchange& it, bool was_reached);

} // namespace hemlocknotch::gateway
