#include "fleet.hpp"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <iostream>

namespace {

using hemlocknotch::fuzz::fleet;
using hemlocknotch::fuzz::fleet_options;
using hemlocknotch::fuzz::invariant_violation;

void print_outcomes(const fleet& value)
{
    for (const auto& [outcome, count] : value.checker().outcomes()) {
        std::cout << "  " << count << " " << outcome << "\n";
    }
}

/// Runs one seed and prints its result. Returns whether no invariant was violated and the utilisation reached
/// `min_utilisation`.
bool run(const fleet_options& options, double min_utilisation)
{
    fleet value{options};
    try {
        value.run();
    }
    catch (const invariant_violation& violation) {
        std::cout << "seed " << options.seed << ", step " << value.steps()
                  << ": invariant violated: " << violation.what() << "\n";
        return false;
    }
    std::cout << "seed " << options.seed << ": " << value.steps() << " steps, utilisation "
              << value.utilisation() << "\n";
    print_outcomes(value);
    if (value.utilisation() < min_utilisation) {
        std::cout << "utilisation while requests wait is below " << min_utilisation << "\n";
        return false;
    }
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{
        "Runs entries and agents against each other under random faults and checks their invariants."};
    fleet_options options;
    std::uint64_t seeds = 1;
    double min_utilisation = 0.0;
    app.add_option("--seed", options.seed, "First seed");
    app.add_option("--seeds", seeds, "Number of seeds, one run each");
    app.add_option("--steps", options.steps, "Events of each run while faults are injected");
    app.add_flag("--disordered", options.is_disordered, "Also duplicate and reorder messages on a link");
    app.add_flag("--calm", options.is_fault_free, "No faults, and more work than the endpoints can sustain");
    app.add_option("--min-utilisation", min_utilisation,
                   "Share of the endpoints' slots that must be busy while requests wait");
    app.add_option("--trace-from", options.trace_from, "Print messages and faults from this step on");
    app.add_option("--check-mutation", options.mutation,
                   "Fault to build into the harness; exits 0 only if an invariant is violated")
        ->check(CLI::IsMember({"same-incarnation", "false-not-run", "short-answer", "crossed-answer",
                               "revision-falls", "work-when-out", "queue-bound", "limit-exceeded",
                               "refusal-lost", "claim-doubled"}));
    CLI11_PARSE(app, argc, argv);
    bool has_passed = true;
    for (std::uint64_t n = 0; n < seeds; ++n, ++options.seed) {
        has_passed = run(options, min_utilisation) && has_passed;
    }
    return has_passed == options.mutation.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}
