#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/request_fields.hpp>

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace hemlocknotch::gateway::model {

/// Lengths with a lognormal distribution, limited to a maximum.
struct length_spread {
    double mean = 1.0;
    /// Standard deviation of the logarithm.
    double spread = 0.0;
    double longest = 1.0;
};

/// Shared prompt parts of one level: their lengths and number, and the skew of their popularity towards the
/// first ones.
struct part_level {
    length_spread tokens;
    std::size_t count = 1;
    double skew = 0.0;
};

/// One kind of model request, and what its callers expect.
struct request_profile {
    std::string name;
    double per_second = 1.0;
    /// Time from the first attempt within which the first event is on time.
    duration objective{};
    duration caller_timeout{};
    /// Longest pause between two events that is on time.
    duration pause_objective{};
    length_spread own_tokens;
    length_spread events;
    std::vector<part_level> shared;
    /// Attempts after a refusal.
    unsigned retries = 1;
};

/// One request as drawn, before its first attempt.
struct drawn_request {
    std::size_t profile = 0;
    std::size_t account = 0;
    std::vector<prompt_part> prompt;
    unsigned output_tokens = 1;
    /// Estimate of the caller, often far off.
    unsigned output_hint = 1;
};

/// Settings of a load, apart from its profiles.
struct load_options {
    std::uint64_t seed = 1;
    /// Factor on the rates of the profiles.
    double load = 1.0;
    std::size_t accounts = 16;
    double account_skew = 1.8;
    /// Factors on the rates of the first accounts; the others keep theirs.
    std::vector<double> account_factors{};
    /// Factor on the rate of the largest account in the middle third of the run.
    double hot_account = 1.0;
    /// Fraction of the requests of each profile that use one and the same shared part in the middle third of
    /// the run.
    double hot_part = 0.0;
    duration length = std::chrono::seconds{30};
    unsigned event_tokens = 8;
};

/// Draws requests of several profiles at random. Used by one thread.
class load_source {
public:
    load_source(std::vector<request_profile> profiles, const load_options& options);

    /// Draws the next request for the time `passed` since the beginning, and returns the time until the one
    /// after it.
    duration next(duration passed, drawn_request& out);

    [[nodiscard]] const std::vector<request_profile>& profiles() const { return profiles_; }

private:
    [[nodiscard]] double draw_length(const length_spread& spread);
    [[nodiscard]] std::size_t draw_rank(std::size_t count, double skew);

    std::vector<request_profile> profiles_;
    load_options options_;
    std::mt19937_64 random_;
    std::vector<double> account_weights_;
    /// Sum of the weights without factors.
    double usual_weight_ = 0.0;
    std::uint64_t last_own_part_ = 0;
};

} // namespace hemlocknotch::gateway::model
