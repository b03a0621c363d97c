#include <hemlocknotch/standins/gateway_soak.hpp>
#include <hemlocknotch/standins/program.hpp>

#include <filesystem>
#include <iostream>
#include <stdexcept>

int main(int argc, char** argv)
{
    using namespace hemlocknotch;
    using namespace hemlocknotch::standins;
    CLI::App app{"Runs gateways as processes under random faults and checks what callers were promised",
                 "gateway-soak"};
    soak_options options;
    soak_paths paths{.program = {}, .directory = "out/gateway-soak"};
    std::uint64_t seeds = 1;
    unsigned faults_s = 20;
    unsigned bound_ms = 2000;
    app.add_option("--program", paths.program, "The program hemlocknotchd")->required();
    app.add_option("--directory", paths.directory, "Directory for settings files and logs")
        ->capture_default_str();
    app.add_option("--seed", options.seed, "Seed of the first run")->capture_default_str();
    app.add_option("--seeds", seeds, "Number of runs, with consecutive seeds")->capture_default_str();
    app.add_option("--gateways", options.gateways, "Number of gateways")
        ->capture_default_str()
        ->check(CLI::Range(2, 100));
    app.add_option("--callers", options.callers, "Callers of each gateway")
        ->capture_default_str()
        ->check(CLI::Range(1, 100));
    app.add_option("--seconds", faults_s, "Seconds of faults in each run")->capture_default_str();
    app.add_option("--bound-ms", bound_ms, "Milliseconds within which a configuration must be in force")
        ->capture_default_str();
    return run_program(app, argc, argv, [&] {
        options.faults_for = std::chrono::seconds{faults_s};
        options.bound = std::chrono::milliseconds{bound_ms};
        const auto root = paths.directory;
        bool is_clean = true;
        for (std::uint64_t n = 0; n < seeds; ++n, ++options.seed) {
            paths.directory = root + "/" + std::to_string(options.seed);
            std::filesystem::remove_all(paths.directory);
            std::filesystem::create_directories(paths.directory);
            gateway_soak soak{options, paths};
            const auto& violations = soak.run();
            is_clean = is_clean && violations.empty();
            std::cout << "seed " << options.seed << ": " << soak.fault_count() << " faults, answers";
            for (const auto& [status, count] : soak.record().answers()) {
                std::cout << ' ' << status << ": " << count;
            }
            std::cout << ", " << violations.size() << " violations\n";
            for (const auto& it : violations) {
                std::cout << "  " << it << '\n';
            }
            std::cout.flush();
        }
        if (!is_clean) {
            throw std::runtime_error{"promises were broken; the logs are in " + root};
        }
    });
}
