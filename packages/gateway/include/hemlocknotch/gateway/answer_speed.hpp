#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace hemlocknotch::gateway {

/// The usual time of answers on each route, in any unit, from a running estimate of their upper quartile.
/// Used by one thread at a time.
class answer_speed {
public:
    /// Multiple of the upper quartile above which an answer is slow.
    static constexpr double slow_factor = 2.5;
    /// Answers on a route before the first one is called slow.
    static constexpr std::uint64_t min_answers = 20;
    /// Maximum number of routes that are known; bounds memory.
    static constexpr std::size_t max_routes = 1024;

    /// Returns whether `time` is slow for an answer on `route`.
    [[nodiscard]] bool is_slow(std::string_view route, double time) const;

    /// Takes an answer into the estimate. Precondition: `time` is not negative.
    void note(std::string_view route, double time);

private:
    struct estimate {
        double upper_quartile = 0.0;
        std::uint64_t answers = 0;
    };

    std::map<std::string, estimate, std::less<>> routes_;
};

} // namespace hemlocknotch::gateway
