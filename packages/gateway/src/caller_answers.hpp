#pragma once

#include <hemlocknotch/gateway/router.hpp>
#include <hemlocknotch/gateway/router_port.hpp>

#include "exchange.hpp"
#include "exchange_log.hpp"
#include "unserved_end.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hemlocknotch::gateway {

/// State of the gateway at the end of a request, for its log record.
struct exchange_context {
    instant now;
    /// Requests that wait for an endpoint of the same service.
    std::size_t waiting = 0;
    /// Version of the configuration in force; 0: none.
    std::uint64_t configuration_version = 0;
    /// Age of the registry now; negative: unknown.
    duration registry_age{-1};
};

/// When a caller may try again.
struct retry_advice {
    retry_advice(duration value) : wait{value} {} // NOLINT(google-explicit-constructor)

    retry_advice(duration value, bool known) : wait{value}, is_known{known} {}

    /// Zero: not stated.
    duration wait;
    /// The time is known, so that it is not limited to what callers accept.
    bool is_known = false;
};

/// Answers callers, and logs and counts how their requests end. Once a stream has begun, nothing but its
/// events and its end is sent: whatever else would end the request cuts the answer off. Changes no other
/// decision about a request. Used by one thread at a time.
class caller_answers {
public:
    /// `port` must outlive the object.
    explicit caller_answers(router_port& port) : port_{port} {}

    /// Passes on an endpoint's complete answer.
    void pass_complete(const exchange& it, const exchange_context& context);
    /// Passes on complete events of a stream; the first ones are preceded by the head.
    void pass_events(exchange& it, std::string_view events, instant now);
    /// Ends a stream as complete.
    void end_stream(const exchange& it, const exchange_context& context);

    /// Answers that the request was not executed and will not be.
    void refuse(const exchange& it, int status, std::string_view reason, const retry_advice& advice,
                const exchange_context& context);
    /// Ends a request that could not be served.
    void end_unserved(const exchange& it, const unserved_end& end, bool may_have_run,
                      const exchange_context& context);
    /// Records that the caller has disconnected.
    void note_disconnected(const exchange& it, const exchange_context& context);

    [[nodiscard]] router_counters& counters() { return counters_; }

    [[nodiscard]] const router_counters& counters() const { return counters_; }

private:
    /// Ends a request whose caller has received a part of a stream.
    void cut(const exchange& it, std::string_view reason, log_level level, const exchange_context& context);
    void reply_own(const exchange& it, int status, std::string_view reason, const retry_advice& advice,
                   const exchange_context& context);
    void record_time(const exchange& it, std::string_view name, instant now);
    void log_end(const exchange& it, int status, std::string_view reason, log_level level,
                 const exchange_context& context);

    router_port& port_;
    router_counters counters_;
};

} // namespace hemlocknotch::gateway
