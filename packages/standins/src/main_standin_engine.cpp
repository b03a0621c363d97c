#include <hemlocknotch/standins/engine_service.hpp>
#include <hemlocknotch/standins/program.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace {

using hemlocknotch::duration;
using hemlocknotch::standins::engine_service_options;

duration seconds_of(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
}

/// Divides every time by `scale`.
void speed_up(engine_service_options& options, double scale)
{
    for (duration* it :
         {&options.engine.warm_up, &options.engine.base_step, &options.engine.failing_after, &options.prefill,
          &options.cached_prefill, &options.cache_event_delay, &options.load_lag, &options.restart}) {
        *it = duration{static_cast<duration::rep>(static_cast<double>(it->count()) / scale)};
    }
}

} // namespace

int main(int argc, char** argv)
{
    using namespace hemlocknotch::standins;
    CLI::App app{"Stand-in of a model engine", "standin-engine"};
    std::string address = "127.0.0.1:0";
    engine_service_options options;
    double scale = 1.0;
    double warm_up_seconds = 20.0;
    double step_ms = 20.0;
    app.add_option("--listen", address, "Address and port; port 0 lets the system choose")
        ->capture_default_str();
    app.add_option("--cold", options.engine.cold_capacity, "Capacity when cold, requests")
        ->capture_default_str();
    app.add_option("--warm", options.engine.warm_capacity, "Capacity when warm, requests")
        ->capture_default_str();
    app.add_option("--warm-up-seconds", warm_up_seconds, "Working time from cold to warm")
        ->capture_default_str();
    app.add_option("--step-ms", step_ms, "Time of one step with an empty batch")->capture_default_str();
    app.add_option("--time-scale", scale, "Divides every time")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_flag("--start-warm", options.is_warm, "Start warm");
    app.add_flag("!--ignores-fencing", options.checks_fencing, "Take orders whatever their fencing number");
    return run_program(app, argc, argv, [&] {
        options.engine.warm_up = seconds_of(warm_up_seconds);
        options.engine.base_step = seconds_of(step_ms / 1000.0);
        speed_up(options, scale);
        event_loop loop;
        const engine_service service{loop, listening_address(address), options};
        print_listening(service.addresses());
        loop.run();
    });
}
