#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/request_fields.hpp>

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace hemlocknotch::gateway::model {

/// Lengths that follow a lognormal distribution, cut at the longest.
struct length_spread {
    double mean = 1.0;
    /// Standard deviation of the logarithm.
    double spread = 0.0;
    double longest = 1.0;
};

/// Shared parts of one level: so many different ones, drawn with a skew towards the first.
struct part_level {
    length_spread tokens;
    std::size_t count = 1;
    double skew = 0.0;
};

/// One kind of model request and what its callers expect.
struct request_profile {
    std::string name;
    double per_second = 1.0;
    /// Of the first event, from the first try.
    duration objective{};
    duration caller_timeout{};
    /// Longest pause between two events that is on time.
    duration pause_objective{};
    length_spread own_tokens;
    length_spread events;
    std::vector<part_level> shared;
    /// Tries after a refusal.
    unsigned retries = 1;
};

/// One request as it is drawn, before its first try.
struct drawn_request {
    std::size_t profile = 0;
    std::size_t account = 0;
    std::vector<prompt_part> prompt;
    unsigned output_tokens = 1;
    /// The caller's own estimate, often far off.
    unsigned output_hint = 1;
};

/// What a load looks like beside its profiles.
struct load_options {
    std::uint64_t seed = 1;
    /// Multiple of the profiles' rates.
    double load = 1.0;
    std::size_t accounts = 16;
    double account_skew = 1.8;
    /// The largest account sends so many times its usual in the middle third of the run.
    double hot_account = 1.0;
    /// This share of the requests of each profile is about one shared part in the middle third of the run.
    double hot_part = 0.0;
    duration length = std::chrono::seconds{30};
    unsigned event_tokens = 8;
};

/// Draws requests of several profiles from a seed. One thread.
class load_source {
public:
    load_source(std::vector<request_profile> profiles, const load_options& options);

    /// Returns the time until the next request, and draws it, at `passed` after the beginning.
    duration next(duration passed, drawn_request& out);

    [[nodiscard]] const std::vector<request_profile>& profiles() const { return profiles_; }

private:
    [[nodiscard]] double draw_length(const length_spread& spread);
    [[nodiscard]] std::size_t draw_rank(std::size_t count, double skew);

    std::vector<request_profile> profiles_;
    load_options options_;
    std::mt19937_64 random_;
    std::vector<double> account_weights_;
    std::uint64_t last_own_part_ = 0;
};

} // namespace hemlocknotch::gateway::model
