#pragma once

#include <hemlocknotch/core/log_record.hpp>

#include <string_view>

namespace hemlocknotch::gateway {

/// What a caller is told where its request could not be served, by how far it had come.
struct unserved_end {
    /// Part of a stream had been passed on.
    std::string_view cut_reason;
    log_level cut_level;
    /// It may have run.
    int failed_status;
    std::string_view failed_reason;
    /// It has not run and never will.
    std::string_view refused_reason;
};

/// An endpoint could not be reached or broke off, and no other could take over.
inline constexpr unserved_end endpoint_failed{.cut_reason = "stream-broken",
                                              .cut_level = log_level::error,
                                              .failed_status = 502,
                                              .failed_reason = "endpoint-broke-off",
                                              .refused_reason = "endpoint-unreachable"};
/// No endpoint had room in time.
inline constexpr unserved_end line_too_long{.cut_reason = "stream-broken",
                                            .cut_level = log_level::error,
                                            .failed_status = 502,
                                            .failed_reason = "no-endpoint-for-retry",
                                            .refused_reason = "waited-too-long"};
/// The time of the caller or of the route was over.
inline constexpr unserved_end out_of_time{.cut_reason = "timed-out",
                                          .cut_level = log_level::warning,
                                          .failed_status = 504,
                                          .failed_reason = "timed-out",
                                          .refused_reason = "timed-out-waiting"};

} // namespace hemlocknotch::gateway
