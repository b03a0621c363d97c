#include <hemlocknotch/gateway/affinity_placement.hpp>

#include "baseline_placements.hpp"
#include "fleet_model.hpp"
#include "site_profiles.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace hemlocknotch::gateway;

std::unique_ptr<placement_policy> create_policy(const std::string& name)
{
    if (name == "affinity") {
        return std::make_unique<affinity_placement>(affinity_options{});
    }
    if (name == "two-choices") {
        affinity_options options;
        options.copy_factor = 0.0;
        return std::make_unique<affinity_placement>(options);
    }
    return model::create_baseline(name);
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

double share_of(double part, double whole)
{
    return whole > 0.0 ? part / whole : 0.0;
}

void print_head()
{
    std::cout << std::left << std::setw(15) << "policy" << std::setw(10) << "callers" << std::right
              << std::setw(9) << "asked" << std::setw(9) << "in time" << std::setw(9) << "late"
              << std::setw(9) << "refused" << std::setw(9) << "failed" << std::setw(9) << "p50 ms"
              << std::setw(9) << "p95 ms"
              << "\n";
}

void print_callers(const std::string& policy, const std::string& name, const model::caller_figures& it)
{
    const auto asked = static_cast<double>(it.asked);
    std::cout << std::left << std::setw(15) << policy << std::setw(10) << name << std::right << std::setw(9)
              << it.asked << std::fixed << std::setprecision(3);
    for (const auto count : {it.in_time, it.late, it.refused, it.failed}) {
        std::cout << std::setw(9) << share_of(static_cast<double>(count), asked);
    }
    std::cout << std::setprecision(0) << std::setw(9) << percentile(it.first_event_ms, 0.5) << std::setw(9)
              << percentile(it.first_event_ms, 0.95) << "\n";
}

/// Smallest share of its requests that an account with enough of them was served in time, and that of all.
void print_totals(const std::string& policy, const model::fleet_figures& figures)
{
    constexpr std::uint64_t enough_requests = 20;
    double asked = 0.0;
    double in_time = 0.0;
    double worst = 1.0;
    double tokens_asked = 0.0;
    double tokens_begun = 0.0;
    for (const auto& it : figures.accounts) {
        asked += static_cast<double>(it.asked);
        in_time += static_cast<double>(it.in_time);
        tokens_asked += it.tokens_asked;
        tokens_begun += it.tokens_begun;
        if (it.asked >= enough_requests) {
            worst = std::min(worst, share_of(static_cast<double>(it.in_time), static_cast<double>(it.asked)));
        }
    }
    std::cout << policy << std::setprecision(3) << ": in time " << share_of(in_time, asked)
              << ", of tokens asked begun " << share_of(tokens_begun, tokens_asked) << ", worst account "
              << worst << ", refusals " << figures.refusals << ", of these false "
              << share_of(static_cast<double>(figures.false_refusals), static_cast<double>(figures.refusals))
              << std::setprecision(0) << ", 1,000 tokens read " << figures.tokens_read / 1000.0
              << ", of these shared and again " << figures.tokens_read_again / 1000.0 << std::setprecision(3)
              << ", engines busy " << figures.busy << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Plays a load against modelled engines and shows what callers get", "experiment"};
    std::string site_name = "saadruil";
    std::vector<std::string> policies{"affinity",     "two-choices", "random",
                                      "least-loaded", "prompt-only", "prompt-bounded"};
    std::uint64_t seed = 1;
    double seconds = 30.0;
    double load = 1.0;
    double hot_account = 1.0;
    double hot_part = 0.0;
    std::size_t lost = 0;
    std::size_t gateways = 0;
    router_options router;
    app.add_option("--site", site_name, "saadruil, fassreg-ch, either with -grown, or long-run");
    app.add_option("--policy", policies, "Placement policies to compare");
    app.add_option("--seed", seed, "Seed of the load");
    app.add_option("--seconds", seconds, "Length of the run")->check(CLI::PositiveNumber);
    app.add_option("--load", load, "Multiple of the usual rate")->check(CLI::PositiveNumber);
    app.add_option("--hot-account", hot_account, "The largest account sends so many times its usual");
    app.add_option("--hot-part", hot_part, "Share of requests about one shared part")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--lost-engines", lost, "Engines lost for the middle third of the run");
    app.add_option("--gateways", gateways, "Gateways; 0: as at the site");
    app.add_option("--share-capacity", router.share_capacity, "Setting of the gateways");
    app.add_option("--wait-share", router.wait_share, "Setting of the gateways");
    CLI11_PARSE(app, argc, argv);

    auto site = model::find_site(site_name);
    if (!site) {
        std::cerr << "There is no site " << site_name << ". Name one of those that --help lists.\n";
        return 2;
    }
    auto& fleet = site->fleet;
    fleet.gateways = gateways > 0 ? gateways : fleet.gateways;
    fleet.lost_engines = lost;
    fleet.router = router;
    fleet.load.seed = seed;
    fleet.load.load = load;
    fleet.load.hot_account = hot_account;
    fleet.load.hot_part = hot_part;
    fleet.load.length = model::from_ms(seconds * 1000.0);
    fleet.load.event_tokens = fleet.engine.event_tokens;
    print_head();
    for (const auto& name : policies) {
        const auto policy = create_policy(name);
        if (!policy) {
            std::cerr << "There is no policy " << name << ". Name one of those that the default compares.\n";
            return 2;
        }
        model::fleet_model played{fleet, site->requests, *policy};
        const auto figures = played.run();
        for (std::size_t n = 0; n < site->requests.size(); ++n) {
            print_callers(name, site->requests[n].name, figures.profiles[n]);
        }
        print_totals(name, figures);
    }
    return 0;
}
