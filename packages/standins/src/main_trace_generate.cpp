#include <hemlocknotch/standins/program.hpp>
#include <hemlocknotch/standins/trace_generator.hpp>

#include <iostream>
#include <stdexcept>
#include <string>

int main(int argc, char** argv)
{
    using namespace hemlocknotch::standins;
    CLI::App app{"Draws a trace of one deployment's requests and writes it to stdout", "trace-generate"};
    std::string size = "saadruil";
    trace_options options;
    std::uint32_t seconds = 60;
    std::uint32_t head_start_seconds = 0;
    app.add_option("--size", size, "Deployment")
        ->check(CLI::IsMember({"saadruil", "fassregister"}))
        ->capture_default_str();
    app.add_option("--seed", options.seed, "The same seed gives the same trace")->capture_default_str();
    app.add_option("--seconds", seconds, "Length")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--load", options.load, "Demand over what a warm fleet yields")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--head-start-seconds", head_start_seconds, "Demand of so much time stands at the begin")
        ->capture_default_str();
    app.add_option("--flood-account", options.flood_account, "Account whose demand is multiplied");
    app.add_option("--flood-factor", options.flood_factor, "By how much")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    return run_program(app, argc, argv, [&] {
        options.length = std::chrono::seconds{seconds};
        options.head_start = std::chrono::seconds{head_start_seconds};
        const auto mix = find_deployment(size);
        if (!mix) {
            throw std::runtime_error{"no deployment of this name"};
        }
        for (const trace_record& record : generate_trace(*mix, options)) {
            std::cout << to_line(record) << '\n';
        }
    });
}
