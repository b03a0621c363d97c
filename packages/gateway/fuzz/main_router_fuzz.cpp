#include "fuzz_fleet.hpp"

#include <CLI/CLI.hpp>

#include <cstdint>
#include <iostream>

int main(int argc, char** argv)
{
    CLI::App app{"Applies random events to several routers and checks them against an oracle", "router_fuzz"};
    std::uint64_t seed = 1;
    std::uint64_t seeds = 1;
    std::uint64_t steps = 100'000;
    app.add_option("--seed", seed, "First seed");
    app.add_option("--seeds", seeds, "Number of seeds");
    app.add_option("--steps", steps, "Number of steps for each seed");
    CLI11_PARSE(app, argc, argv);
    for (auto it = seed; it < seed + seeds; ++it) {
        hemlocknotch::gateway::fuzz_fleet fleet{it};
        std::uint64_t n = 0;
        try {
            for (; n < steps; ++n) {
                fleet.step();
            }
        }
        catch (const hemlocknotch::gateway::invariant_violation& violation) {
            std::cerr << "seed " << it << ", step " << n << ": " << violation.what << "\n";
            return 1;
        }
        std::cout << "seed " << it << ": " << fleet.ended() << " requests ended\n";
    }
    return 0;
}
