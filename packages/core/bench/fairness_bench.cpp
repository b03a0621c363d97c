#include <hemlocknotch/core/damped_fair_order.hpp>
#include <hemlocknotch/core/fleet_fair_order.hpp>
#include <hemlocknotch/core/local_fair_order.hpp>
#include <hemlocknotch/core/random_order.hpp>

#include "fleet.hpp"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace hemlocknotch;
using namespace hemlocknotch::bench;

struct named_order {
    std::string name;
    std::function<std::unique_ptr<fair_order>()> create;
};

std::vector<named_order> orders(const damping_options& damping)
{
    return {
        {"random", [] { return std::make_unique<random_order>(); }},
        {"local", [] { return std::make_unique<local_fair_order>(); }},
        {"fleet", [] { return std::make_unique<fleet_fair_order>(); }},
        {"damped", [damping] { return std::make_unique<damped_fair_order>(damping); }},
    };
}

void print_run(const named_order& order, fleet_options options)
{
    options.create_order = order.create;
    fleet run{options};
    const fleet_result result = run.run();
    std::printf("%-7s %6zu %9zu %6.1f %9.1f %8.3f %8.4f %12.4f %9llu %9llu %9.1f\n", order.name.c_str(),
                options.agents, options.accounts,
                std::chrono::duration<double>(options.report_interval).count(), result.gap_seconds,
                result.gap_seconds / 60.0, result.jain, result.utilisation,
                static_cast<unsigned long long>(result.requests),
                static_cast<unsigned long long>(result.declines), result.report_items);
    std::fflush(stdout);
}

} // namespace

/// Prints the fairness gap, Jain index and utilisation of each fair order, measured with real agent reducers.
int main(int argc, char** argv)
{
    fleet_options options;
    double length_seconds = 600.0;
    double report_seconds = 1.0;
    double warm_up_seconds = 0.0;
    std::vector<std::string> wanted;
    damping_options damping;
    CLI::App app{"Measures fair orders with real agent reducers in virtual time.", "fairness-bench"};
    app.add_option("--agents", options.agents, "agents")->capture_default_str();
    app.add_option("--entries", options.entries, "scripted entries")->capture_default_str();
    app.add_option("--accounts", options.accounts, "client accounts")->capture_default_str();
    app.add_option("--slots", options.slots, "requests that each endpoint runs at once")
        ->capture_default_str();
    app.add_option("--entries-per-account", options.entries_per_account, "entries that each account uses")
        ->capture_default_str();
    app.add_option("--load", options.load,
                   "offered load as a share of the capacity; 0: all accounts always backlogged")
        ->capture_default_str();
    app.add_option("--max-cost", options.max_cost, "largest cost of a request, in units")
        ->capture_default_str();
    app.add_option("--seed", options.seed, "seed")->capture_default_str();
    app.add_option("--seconds", length_seconds, "length of the run in virtual seconds")
        ->capture_default_str();
    app.add_option("--left-out", warm_up_seconds, "seconds at the start that the fairness gap leaves out")
        ->capture_default_str();
    app.add_option("--report-interval", report_seconds, "seconds between reports")->capture_default_str();
    app.add_option("--order", wanted, "orders to run: random, local, fleet, damped; all by default");
    app.add_option("--extrapolation", damping.extrapolation, "extrapolation of the damped order")
        ->capture_default_str();
    app.add_option("--spread", damping.spread, "spread of the damped order")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    const auto to_duration = [](double seconds) {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
    };
    options.length = to_duration(length_seconds);
    options.report_interval = to_duration(report_seconds);
    options.warm_up = to_duration(warm_up_seconds);
    std::printf("%-7s %6s %9s %6s %9s %8s %8s %12s %9s %9s %9s\n", "order", "agents", "accounts", "report",
                "gap, s", "gap/60s", "Jain", "utilisation", "requests", "declines", "items/s");
    for (const named_order& order : orders(damping)) {
        if (wanted.empty() || std::find(wanted.begin(), wanted.end(), order.name) != wanted.end()) {
            print_run(order, options);
        }
    }
    return 0;
}
