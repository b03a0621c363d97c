#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstddef>

namespace hemlocknotch::standins {

/// What a model engine can bear and how fast it is.
struct engine_options {
    /// Requests that run together without loss of speed on a cold and on a warm engine.
    double cold_capacity = 2.0;
    double warm_capacity = 16.0;
    /// Time with work in progress that it takes from cold to warm.
    duration warm_up = std::chrono::seconds{20};
    /// Time of one step, which yields one line for each running request, with an empty batch.
    duration base_step = std::chrono::milliseconds{20};
    /// Growth of the step per running request, as a share of `base_step`.
    double step_growth = 0.03;
    /// Fails when the batch is above this multiple of the current capacity ...
    double failing_load = 1.5;
    /// ... for this long.
    duration failing_after = std::chrono::seconds{1};
};

/// Speed, warmth and failure of a model engine as a function of its load. Not thread-safe.
class engine_model {
public:
    /// Makes a cold engine. Preconditions: 0 < cold_capacity <= warm_capacity, durations above 0.
    explicit engine_model(const engine_options& options);

    /// Returns the number of requests that run together without loss of speed now.
    [[nodiscard]] double capacity() const;

    /// Returns the time that one step takes with `batch` requests running: linear up to the capacity, with
    /// the cube of the excess above it.
    [[nodiscard]] duration step_time(std::size_t batch) const;

    /// Accounts for `elapsed` with `batch` requests running. Returns whether the engine fails at its end.
    [[nodiscard]] bool advance(duration elapsed, std::size_t batch);

    /// Returns to the state of a new engine.
    void go_cold();

    /// Becomes as fast as it gets at once.
    void go_warm();

private:
    engine_options options_;
    duration worked_{};
    duration overloaded_{};
};

} // namespace hemlocknotch::standins
