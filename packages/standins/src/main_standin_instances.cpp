#include <hemlocknotch/standins/instance_service.hpp>
#include <hemlocknotch/standins/program.hpp>

#include <nlohmann/json.hpp>

#include <string>

int main(int argc, char** argv)
{
    using namespace hemlocknotch::standins;
    CLI::App app{"Stand-in of the platform's instance list", "standin-instances"};
    std::string address = "127.0.0.1:0";
    std::uint32_t lag_ms = 1000;
    app.add_option("--listen", address, "Address and port; port 0 lets the system choose")
        ->capture_default_str();
    app.add_option("--lag-ms", lag_ms, "Time until a change shows")->capture_default_str();
    return run_program(app, argc, argv, [&] {
        event_loop loop;
        const instance_service service{loop, listening_address(address), std::chrono::milliseconds{lag_ms}};
        print_listening(service.addresses());
        loop.run();
    });
}
