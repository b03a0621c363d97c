#pragma once

#include <hemlocknotch/core/log_record.hpp>

#include <string_view>

namespace hemlocknotch::gateway {

/// Answer to a caller whose request could not be served, depending on how far the request had come.
struct unserved_end {
    /// Part of a stream was already passed on.
    std::string_view cut_reason;
    log_level cut_level;
    /// The request may have been executed.
    int failed_status;
    std::string_view failed_reason;
    /// The request was not executed and will not be.
    std::string_view refused_reason;
};

/// An endpoint could not be reached or broke off, and no other one could take over.
inline constexpr unserved_end endpoint_failed{.cut_reason = "stream-broken",
                                              .cut_level = log_level::error,
                                              .failed_status = 502,
                                              .failed_reason = "endpoint-broke-off",
                                              .refused_reason = "endpoint-unreachable"};
/// The last endpoint stated that it did not execute the request, and no other one could take over.
inline constexpr unserved_end endpoint_refused{.cut_reason = "stream-broken",
                                               .cut_level = log_level::error,
                                               .failed_status = 502,
                                               .failed_reason = "no-endpoint-for-retry",
                                               .refused_reason = "endpoint-refused"};
/// No endpoint had a free slot in time.
inline constexpr unserved_end queue_wait_exceeded{.cut_reason = "stream-broken",
                                                  .cut_level = log_level::error,
                                                  .failed_status = 502,
                                                  .failed_reason = "no-endpoint-for-retry",
                                                  .refused_reason = "waited-too-long"};
/// No endpoint of the software version that began the stream is registered.
inline constexpr unserved_end stream_version_left{.cut_reason = "stream-version-left",
                                                  .cut_level = log_level::warning,
                                                  .failed_status = 502,
                                                  .failed_reason = "stream-version-left",
                                                  .refused_reason = "stream-version-left"};
/// The time limit of the caller or of the route has passed.
inline constexpr unserved_end deadline_exceeded{.cut_reason = "timed-out",
                                                .cut_level = log_level::warning,
                                                .failed_status = 504,
                                                .failed_reason = "timed-out",
                                                .refused_reason = "timed-out-waiting"};
/// The gateway stops.
inline constexpr unserved_end gateway_stopped{.cut_reason = "stopped",
                                              .cut_level = log_level::warning,
                                              .failed_status = 502,
                                              .failed_reason = "stopped",
                                              .refused_reason = "stopping"};

/// A part of its prompt is suspected of crashing endpoints, or blocked for that.
inline constexpr unserved_end prompt_part_restricted{.cut_reason = "prompt-part-blocked",
                                                     .cut_level = log_level::warning,
                                                     .failed_status = 502,
                                                     .failed_reason = "prompt-part-blocked",
                                                     .refused_reason = "prompt-part-blocked"};
/// The same request crashed endpoints before.
inline constexpr unserved_end request_restricted{.cut_reason = "request-blocked",
                                                 .cut_level = log_level::warning,
                                                 .failed_status = 502,
                                                 .failed_reason = "request-blocked",
                                                 .refused_reason = "request-blocked"};

} // namespace hemlocknotch::gateway
