#include <hemlocknotch/standins/key_value_service.hpp>
#include <hemlocknotch/standins/program.hpp>

#include <nlohmann/json.hpp>

#include <string>

int main(int argc, char** argv)
{
    using namespace hemlocknotch::standins;
    CLI::App app{"Stand-in of the platform's key-value service", "standin-key-value"};
    std::string address = "127.0.0.1:0";
    key_value_options options;
    app.add_option("--listen", address, "Address and port; port 0 lets the system choose")
        ->capture_default_str();
    app.add_option("--reads-per-second", options.reads_per_second, "Rate limit of reads; 0 for none")
        ->capture_default_str();
    app.add_option("--writes-per-second", options.writes_per_second, "Rate limit of writes; 0 for none")
        ->capture_default_str();
    return run_program(app, argc, argv, [&] {
        event_loop loop;
        const key_value_service service{loop, listening_address(address), options};
        print_listening(service.addresses());
        loop.run();
    });
}
