#pragma once

#include <hemlocknotch/core/time.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace hemlocknotch::gateway {

/// Counts the requests that reach endpoints which are cold or state a limit. The functions that note arrivals
/// throw `invariant_violation` where an endpoint gets more than it sustains.
class arrival_oracle {
public:
    /// Requests per second that a cold endpoint is configured to get.
    static constexpr double cold_rate = 8.9;

    /// The endpoint is cold until `until`.
    void set_cold(const std::string& instance, instant until);
    /// The endpoint has started anew: it is neither cold nor has it a limit.
    void reset(const std::string& instance);
    /// Sets the limit that the endpoint states from now on; nothing: none.
    void set_limit(const std::string& instance, std::optional<double> requests_per_second);

    [[nodiscard]] bool has_limit(const std::string& instance) const { return limits_.contains(instance); }

    /// Returns the limit that the endpoint states in an answer at `now`.
    std::optional<double> state_limit(const std::string& instance, instant now);

    /// A request reaches the endpoint.
    void note_arrival(const std::string& instance, instant now);

private:
    struct stated_limit {
        double requests_per_second = 0.0;
        /// When an answer first stated it.
        instant stated_at = instant::max();
        std::deque<instant> arrivals;
    };

    struct cold_endpoint {
        instant until;
        std::deque<instant> arrivals;
    };

    void check_limit(const std::string& instance, instant now);
    void check_cold(const std::string& instance, instant now);

    std::map<std::string, stated_limit> limits_;
    std::map<std::string, cold_endpoint> cold_;
};

} // namespace hemlocknotch::gateway
