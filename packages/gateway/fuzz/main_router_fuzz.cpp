#include "fuzz_fleet.hpp"
#include "fuzz_registry.hpp"

#include <CLI/CLI.hpp>

#include <cstdint>
#include <iostream>

int main(int argc, char** argv)
{
    CLI::App app{"Applies random events to several routers, and to views of a registry that is restored from "
                 "copies, and checks them against oracles",
                 "router_fuzz"};
    std::uint64_t seed = 1;
    std::uint64_t seeds = 1;
    std::uint64_t steps = 100'000;
    app.add_option("--seed", seed, "First seed");
    app.add_option("--seeds", seeds, "Number of seeds");
    app.add_option("--steps", steps, "Number of steps for each seed");
    CLI11_PARSE(app, argc, argv);
    for (auto it = seed; it < seed + seeds; ++it) {
        hemlocknotch::gateway::fuzz_fleet fleet{it};
        hemlocknotch::gateway::fuzz_registry registry{it};
        constexpr std::uint64_t settle_interval = 1000;
        std::uint64_t n = 0;
        try {
            for (; n < steps; ++n) {
                fleet.step();
                registry.step();
                if (n % settle_interval == 0) {
                    registry.settle();
                }
            }
        }
        catch (const hemlocknotch::gateway::invariant_violation& violation) {
            std::cerr << "seed " << it << ", step " << n << ": " << violation.what << "\n";
            return 1;
        }
        std::cout << "seed " << it << ": " << fleet.ended() << " requests ended, " << registry.restores()
                  << " restores of the registry\n";
    }
    return 0;
}
