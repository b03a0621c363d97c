#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/rollout_evidence.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace hemlocknotch::gateway {

/// What the evidence says of the new version.
enum class rollout_verdict : std::uint8_t {
    /// Too few answers to tell.
    undecided,
    sound,
    bad,
};

/// Weighs the answers of a new version against those that the present one gave at the same time, in the same
/// failure domain and on the same route, by a sequential likelihood ratio test (Wald, "Sequential Tests of
/// Statistical Hypotheses", 1945; Robbins, "Statistical Methods Related to the Law of the Iterated
/// Logarithm", 1970, for the mixture). Used by one thread at a time.
class rollout_judge {
public:
    /// Time over which the recent share of bad answers of the present version is taken.
    static constexpr duration recent_time = std::chrono::seconds{2};
    /// Shares of bad answers, above the present version's, that the new version is tested for.
    static constexpr std::array<double, 4> alternatives{0.08, 0.2, 0.5, 0.9};
    /// Time between the moments from which on the version is tested for having turned bad, and the number of
    /// the latest of them that are kept.
    static constexpr duration test_interval = std::chrono::seconds{1};
    static constexpr std::size_t max_tests = 30;
    /// Log of the likelihood ratio from which the version is bad. A version as good as the present one
    /// reaches it in one of 6e7 tests (Ville's inequality). Each of the `test_interval`s begins a test for
    /// each route and one for all.
    static constexpr double bad_threshold = 18.0;
    /// Log of the likelihood ratio above which the version is not called sound: one of 400 tests of a good
    /// version reaches it.
    static constexpr double doubt_threshold = 6.0;
    /// Least number of answers, in all and on each route with at least `common_share` of the answers, for the
    /// version to be sound.
    static constexpr std::int64_t min_answers = 40;
    static constexpr std::int64_t min_route_answers = 12;
    static constexpr double common_share = 0.05;
    /// Part of the endpoints, those with the worst evidence, that is left out: they may be broken, whatever
    /// their version.
    static constexpr double left_out_share = 0.25;
    /// Bad answers beyond `tolerated_share` from which the version is bad, whatever endpoints gave them.
    /// Below the 50 bad answers from which on the platform counts time.
    static constexpr double max_excess_bad = 30.0;

    /// Returns the share of bad answers that is tolerated where the present version has `expected`. The
    /// margin keeps the sum of the excess from growing by chance alone.
    static constexpr double tolerated_share(double expected) { return 1.5 * expected + 0.01; }

    /// Takes what all gateways have counted since the order, with `total` at least that of the last call in
    /// each count. To be called several times per second.
    void update(const rollout_evidence& total, instant now);

    [[nodiscard]] rollout_verdict verdict() const;

    /// Returns the highest log of a likelihood ratio of all tests.
    [[nodiscard]] double evidence() const { return evidence_; }

    /// Returns the bad answers beyond the tolerated share.
    [[nodiscard]] double excess_bad() const { return excess_bad_; }

private:
    /// For each of the alternatives, the log of the likelihood ratio.
    using log_ratios = std::array<double, alternatives.size()>;

    /// By route, then by endpoint.
    using ratio_table = std::map<std::string, std::map<std::string, log_ratios>>;

    struct slice {
        instant at;
        std::map<reference_key, answer_counts> reference;
    };

    [[nodiscard]] double expected_share(const candidate_key& key) const;
    void weigh(const candidate_key& key, const answer_counts& counts);
    /// Returns the highest result of the tests that began when the sums were `begin`.
    [[nodiscard]] double evidence_since(const ratio_table& begin) const;
    /// Returns the log of the likelihood ratio of the mixture for the sum over `endpoints`, without the worst
    /// ones.
    [[nodiscard]] static double trimmed(std::span<const log_ratios> endpoints);
    [[nodiscard]] bool has_enough_answers() const;

    rollout_evidence seen_;
    std::deque<slice> recent_;
    ratio_table ratios_;
    /// The sums at the beginnings of the tests, oldest first.
    std::deque<ratio_table> beginnings_;
    instant next_test_{};
    double evidence_ = 0.0;
    double excess_bad_ = 0.0;
};

} // namespace hemlocknotch::gateway
