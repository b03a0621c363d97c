#include <hemlocknotch/gateway/affinity_placement.hpp>

#include "baseline_placements.hpp"
#include "fleet_model.hpp"
#include "site_profiles.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

/// Runs loads against modelled engines and checks the results of the callers. Bounds are the specified
/// targets, or the results of a baseline under the same load. Seeds are fixed, so each run gives the same
/// figures.
namespace hemlocknotch::gateway::model {
namespace {

struct totals {
    double in_time = 0.0;
    fleet_figures figures;
};

totals run_load(const std::string& site_name, const placement_policy& policy, double load,
                const load_options& options = {}, std::size_t gateways = 0,
                const std::map<std::size_t, std::size_t>& gateways_of_account = {},
                const router_options& router = {})
{
    auto site = *find_site(site_name);
    auto& fleet = site.fleet;
    const auto accounts = fleet.load.accounts;
    fleet.load = options;
    fleet.load.accounts = accounts;
    fleet.load.load = load;
    fleet.load.length = std::chrono::seconds{15};
    fleet.load.event_tokens = fleet.engine.event_tokens;
    fleet.gateways = gateways > 0 ? gateways : fleet.gateways;
    fleet.gateways_of_account = gateways_of_account;
    fleet.router = router;
    fleet_model model{fleet, site.requests, policy};
    totals out;
    out.figures = model.run();
    double requested = 0.0;
    for (const auto& it : out.figures.profiles) {
        requested += static_cast<double>(it.requested);
        out.in_time += static_cast<double>(it.in_time);
    }
    out.in_time /= requested;
    return out;
}

/// Returns the lowest share that each account got of what it was owed in six seconds in a row: of the lower
/// of what it requested and what the best served account got, second by second. Only seconds count in which a
/// request of it was refused or waited past its objective; an account without six of them in a row has none.
std::map<std::size_t, double> find_margins(const fleet_figures& figures)
{
    constexpr std::size_t window = 6;
    std::map<std::size_t, double> out;
    std::size_t length = 0;
    for (const auto& it : figures.accounts) {
        length = std::max(length, it.seconds.size());
    }
    for (std::size_t from = 0; from + window <= length; ++from) {
        const auto best_of = [&](std::size_t second) {
            double best = 0.0;
            for (const auto& it : figures.accounts) {
                best = std::max(best, second < it.seconds.size() ? it.seconds[second].tokens_begun : 0.0);
            }
            return best;
        };
        for (std::size_t n = 0; n < figures.accounts.size(); ++n) {
            const auto& seconds = figures.accounts[n].seconds;
            if (from + window > seconds.size()) {
                continue;
            }
            const auto in_window = std::span{seconds}.subspan(from, window);
            double due = 0.0;
            double begun = 0.0;
            for (std::size_t second = 0; second < window; ++second) {
                due += std::min(in_window[second].tokens_requested, best_of(from + second));
                begun += in_window[second].tokens_begun;
            }
            if (std::ranges::all_of(in_window, &second_figures::has_unserved) && due > 0.0) {
                const auto [it, is_new] = out.try_emplace(n, begun / due);
                it->second = std::min(it->second, begun / due);
            }
        }
    }
    return out;
}

/// Returns the numbers of the accounts that got less than half of what they were owed in six seconds in a
/// row.
std::set<std::size_t> find_starved(const fleet_figures& figures)
{
    std::set<std::size_t> out;
    for (const auto& [account, margin] : find_margins(figures)) {
        if (margin < 0.5) {
            out.insert(account);
        }
    }
    return out;
}

const affinity_placement affinity{affinity_options{}};

BOOST_AUTO_TEST_SUITE(fleet_model_suite)

BOOST_AUTO_TEST_CASE(equal_seeds_give_equal_runs)
{
    const auto first = run_load("saadruil", affinity, 1.0);
    const auto second = run_load("saadruil", affinity, 1.0);
    BOOST_TEST(first.in_time == second.in_time);
    BOOST_TEST(first.figures.tokens_read == second.figures.tokens_read);
    BOOST_TEST(first.figures.refusals == second.figures.refusals);
}

/// Checks that `affinity` serves more requests in time than each baseline at twice the load.
void check_against_baselines(const router_options& router)
{
    for (const auto* site : {"saadruil", "fassreg-ch"}) {
        const auto ours = run_load(site, affinity, 2.0, {}, 0, {}, router);
        for (const auto* name : {"random", "least-loaded", "prompt-only", "prompt-bounded"}) {
            const auto other = run_load(site, *create_baseline(name), 2.0, {}, 0, {}, router);
            BOOST_TEST(ours.in_time > other.in_time, site << " " << name);
        }
    }
}

BOOST_AUTO_TEST_CASE(serves_more_in_time_than_each_baseline_under_high_load)
{
    check_against_baselines({});
}

BOOST_AUTO_TEST_CASE(serves_more_in_time_than_each_baseline_where_accounts_have_no_limit)
{
    router_options unlimited;
    unlimited.admitted_shares = std::numeric_limits<double>::infinity();
    check_against_baselines(unlimited);
}

BOOST_AUTO_TEST_CASE(reads_shared_parts_again_less_often_than_two_choices)
{
    affinity_options options;
    options.copy_factor = 0.0;
    const affinity_placement two_choices{options};
    for (const auto* site : {"saadruil", "fassreg-ch"}) {
        const auto ours = run_load(site, affinity, 1.0);
        const auto other = run_load(site, two_choices, 1.0);
        BOOST_TEST(ours.figures.tokens_read_again < other.figures.tokens_read_again, site);
    }
}

BOOST_AUTO_TEST_CASE(a_hot_account_leaves_the_other_accounts_their_share)
{
    load_options options;
    options.hot_account = 8.0;
    const auto hot = run_load("saadruil", affinity, 0.6, options);
    const auto normal = run_load("saadruil", affinity, 0.6);
    double hot_others = 0.0;
    double normal_others = 0.0;
    const auto share = [](const caller_figures& it) {
        return it.requested == 0 ? 1.0 : static_cast<double>(it.in_time) / static_cast<double>(it.requested);
    };
    const auto accounts = hot.figures.accounts.size();
    for (std::size_t n = 1; n < accounts; ++n) {
        hot_others += share(hot.figures.accounts[n]) / static_cast<double>(accounts - 1);
        normal_others += share(normal.figures.accounts[n]) / static_cast<double>(accounts - 1);
    }
    // Target: nine tenths of the in-time share that the accounts have without the hot account.
    BOOST_TEST(hot_others >= 0.9 * normal_others);
}

BOOST_AUTO_TEST_CASE(many_gateways_serve_nearly_as_much_in_time_as_few)
{
    const auto few = run_load("fassreg-ch-grown", affinity, 0.5, {}, 4);
    const auto many = run_load("fassreg-ch-grown", affinity, 0.5, {}, 30);
    // Target: at most a twentieth is lost when thirty gateways share the endpoints.
    BOOST_TEST(many.in_time >= 0.95 * few.in_time);
}

BOOST_AUTO_TEST_CASE(an_account_whose_callers_use_one_gateway_of_many_is_not_starved)
{
    const auto run = run_load("saadruil", affinity, 2.0, {}, 104, {{1, 1}});
    BOOST_TEST(!find_starved(run.figures).contains(1));
}

BOOST_AUTO_TEST_CASE(accounts_far_over_their_share_do_not_starve_the_others_whatever_gateways_they_use)
{
    load_options options;
    options.account_factors = {4.0, 14.0, 29.0};
    for (const auto& gateways : {std::map<std::size_t, std::size_t>{}, {{1, 2}, {2, 1}}}) {
        for (const std::uint64_t seed : {1, 2}) {
            options.seed = seed;
            const auto run = run_load("fassreg-ch-grown", affinity, 1.0, options, 30, gateways);
            const auto starved = find_starved(run.figures);
            BOOST_TEST(starved.empty(), "seed " << seed << ", " << gateways.size()
                                                << " accounts at few gateways, starved " << starved.size());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway::model
