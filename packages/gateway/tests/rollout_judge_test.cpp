#include <hemlocknotch/gateway/rollout_judge.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <random>
#include <string>

namespace hemlocknotch::gateway {
namespace {

constexpr duration step = std::chrono::milliseconds{250};

/// Shares of bad answers, by route and number of the endpoint or domain.
struct answer_source {
    int seconds = 10;
    int endpoints = 4;
    /// Answers of the new version in a step, on each of two routes, and times as many of the present one.
    int answers = 6;
    int reference_factor = 11;
    std::function<double(int second, int endpoint, int route)> candidate;
    std::function<double(int second, int domain, int route)> reference;
};

struct judged {
    rollout_verdict verdict = rollout_verdict::undecided;
    /// Time from the bad answer of the new version from which the platform counts to the verdict.
    duration after_counted_bad{};
};

/// The platform gives 5 s from this bad answer on. The judge may take a fifth of that.
constexpr std::int64_t counted_bad = 50;
constexpr duration max_judging_time = std::chrono::seconds{1};

bool is_bad_in_time(const judged& it)
{
    return it.verdict == rollout_verdict::bad && it.after_counted_bad <= max_judging_time;
}

/// Returns the verdict at the end, or as soon as the version is bad, and what it took.
judged judge(const answer_source& source, unsigned seed)
{
    std::minstd_rand random{seed};
    rollout_judge it;
    rollout_evidence total;
    instant now{std::chrono::seconds{100}};
    auto counted_at = instant::max();
    const auto is_bad = [&](double share) { return std::bernoulli_distribution{share}(random) ? 1 : 0; };
    for (int n = 0; n < source.seconds * 4; ++n) {
        for (int route = 0; route < 2; ++route) {
            const auto name = "r" + std::to_string(route);
            for (int k = 0; k < source.answers; ++k) {
                const auto endpoint = std::uniform_int_distribution{0, source.endpoints - 1}(random);
                total.candidate[{"e" + std::to_string(endpoint), "d" + std::to_string(endpoint % 2), name}] +=
                    {1, is_bad(source.candidate(n / 4, endpoint, route))};
            }
            for (int k = 0; k < source.answers * source.reference_factor; ++k) {
                total.reference[{"d" + std::to_string(k % 2), name}] +=
                    {1, is_bad(source.reference(n / 4, k % 2, route))};
            }
        }
        now += step;
        if (total.candidate_total().bad >= counted_bad) {
            counted_at = std::min(counted_at, now);
        }
        it.update(total, now);
        if (it.verdict() == rollout_verdict::bad) {
            break;
        }
    }
    return {it.verdict(), counted_at == instant::max() ? duration::zero() : now - counted_at};
}

auto constant(double share)
{
    return [share](int, int, int) { return share; };
}

constexpr unsigned good_seeds = 1000;
constexpr unsigned bad_seeds = 50;

} // namespace

BOOST_AUTO_TEST_SUITE(rollout_judge_suite)

/// Guards against false rollbacks: none in 1,000 roll-outs of a version that is as good as the present one.
BOOST_AUTO_TEST_CASE(a_version_as_good_as_the_present_one_is_never_bad)
{
    for (const auto share : {0.0, 0.02, 0.2}) {
        unsigned sound = 0;
        for (unsigned seed = 1; seed <= good_seeds / 3; ++seed) {
            const auto result =
                judge({.seconds = 6, .candidate = constant(share), .reference = constant(share)}, seed);
            BOOST_REQUIRE(result.verdict != rollout_verdict::bad);
            sound += result.verdict == rollout_verdict::sound ? 1U : 0U;
        }
        BOOST_CHECK_GT(sound, good_seeds / 3 * 9 / 10);
    }
}

/// Guards against a rollback that comes too late after 50 bad answers.
BOOST_AUTO_TEST_CASE(a_bad_version_is_found_in_time)
{
    for (const auto share : {0.1, 0.3, 1.0}) {
        for (unsigned seed = 1; seed <= bad_seeds; ++seed) {
            const auto result =
                judge({.seconds = 30, .candidate = constant(share), .reference = constant(0.01)}, seed);
            BOOST_REQUIRE(is_bad_in_time(result));
        }
    }
}

/// Guards against a long sound time that hides a version which turns bad.
BOOST_AUTO_TEST_CASE(a_version_that_turns_bad_later_is_found_in_time)
{
    const auto later = [](int second, int, int) { return second < 20 ? 0.01 : 0.3; };
    for (unsigned seed = 1; seed <= bad_seeds; ++seed) {
        const auto result = judge({.seconds = 40, .candidate = later, .reference = constant(0.01)}, seed);
        BOOST_REQUIRE(is_bad_in_time(result));
    }
}

BOOST_AUTO_TEST_CASE(a_version_that_is_bad_on_one_route_is_found)
{
    const auto one_route = [](int, int, int route) { return route == 1 ? 0.3 : 0.01; };
    for (unsigned seed = 1; seed <= bad_seeds; ++seed) {
        const auto result = judge({.seconds = 30, .candidate = one_route, .reference = constant(0.01)}, seed);
        BOOST_REQUIRE(is_bad_in_time(result));
    }
}

/// Guards against a rollback for a broken endpoint, which says nothing of its version. It is suspected and
/// gets few requests after some failures, as modelled by its low share of bad answers later.
BOOST_AUTO_TEST_CASE(one_broken_endpoint_does_not_make_a_version_bad)
{
    const auto broken = [](int second, int endpoint, int) {
        return endpoint == 0 && second < 2 ? 0.5 : 0.01;
    };
    for (unsigned seed = 1; seed <= bad_seeds; ++seed) {
        const auto result = judge({.seconds = 10, .candidate = broken, .reference = constant(0.01)}, seed);
        BOOST_REQUIRE(result.verdict != rollout_verdict::bad);
    }
}

/// Guards against a version that gives 50 bad answers at a single endpoint.
BOOST_AUTO_TEST_CASE(an_endpoint_that_stays_bad_ends_the_roll_out_in_time)
{
    const auto broken = [](int, int endpoint, int) { return endpoint == 0 ? 0.9 : 0.01; };
    for (unsigned seed = 1; seed <= bad_seeds; ++seed) {
        const auto result = judge({.seconds = 30, .candidate = broken, .reference = constant(0.01)}, seed);
        BOOST_REQUIRE(is_bad_in_time(result));
    }
}

/// Guards against a rollback for trouble that meets both versions: a failure domain that fails for two
/// seconds, and a burst in which all answers are late.
BOOST_AUTO_TEST_CASE(trouble_of_both_versions_does_not_make_the_new_one_bad)
{
    const auto domain = [](int second, int place, int) {
        return place % 2 == 0 && second >= 4 && second < 6 ? 0.8 : 0.01;
    };
    const auto burst = [](int second, int, int) { return second >= 4 && second < 8 ? 0.5 : 0.01; };
    for (unsigned seed = 1; seed <= bad_seeds; ++seed) {
        BOOST_REQUIRE(judge({.candidate = domain, .reference = domain}, seed).verdict !=
                      rollout_verdict::bad);
        BOOST_REQUIRE(judge({.candidate = burst, .reference = burst}, seed).verdict != rollout_verdict::bad);
    }
}

/// Guards against a version that is called sound without answers, or before each common route has some.
BOOST_AUTO_TEST_CASE(few_answers_leave_a_version_undecided)
{
    rollout_judge it;
    rollout_evidence total;
    instant now{std::chrono::seconds{100}};
    it.update(total, now);
    BOOST_CHECK(it.verdict() == rollout_verdict::undecided);
    total.reference[{"d", "common"}] = {1000, 0};
    total.reference[{"d", "rare"}] = {10, 0};
    total.reference[{"d", "other"}] = {1000, 0};
    total.candidate[{"e", "d", "common"}] = {100, 0};
    it.update(total, now += step);
    BOOST_CHECK(it.verdict() == rollout_verdict::undecided);
    total.candidate[{"e", "d", "other"}] = {rollout_judge::min_route_answers, 0};
    it.update(total, now += step);
    BOOST_CHECK(it.verdict() == rollout_verdict::sound);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::gateway
