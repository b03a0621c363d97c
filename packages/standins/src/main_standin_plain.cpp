#include <hemlocknotch/standins/plain_service.hpp>
#include <hemlocknotch/standins/program.hpp>

#include <nlohmann/json.hpp>

#include <string>

int main(int argc, char** argv)
{
    using namespace hemlocknotch::standins;
    CLI::App app{"Stand-in of a plain service", "standin-plain"};
    std::string address = "127.0.0.1:0";
    plain_service_options options;
    std::uint32_t work_ms = 10;
    app.add_option("--listen", address, "Address and port; port 0 lets the system choose")
        ->capture_default_str();
    app.add_option("--work-ms", work_ms, "Working time of a request that gives none")->capture_default_str();
    app.add_option("--max-running", options.max_running, "Requests that run together")->capture_default_str();
    return run_program(app, argc, argv, [&] {
        options.work = std::chrono::milliseconds{work_ms};
        event_loop loop;
        const plain_service service{loop, listening_address(address), options};
        print_listening(service.addresses());
        loop.run();
    });
}
