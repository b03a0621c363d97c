#include <hemlocknotch/standins/program.hpp>
#include <hemlocknotch/standins/relay_service.hpp>

#include <nlohmann/json.hpp>

#include <string>

int main(int argc, char** argv)
{
    using namespace hemlocknotch::standins;
    CLI::App app{"Passes TCP connections on and can cut or silence them", "standin-relay"};
    std::string address = "127.0.0.1:0";
    app.add_option("--listen", address, "Address and port; port 0 lets the system choose")
        ->capture_default_str();
    return run_program(app, argc, argv, [&] {
        event_loop loop;
        const relay_service service{loop, listening_address(address)};
        print_listening(service.addresses());
        loop.run();
    });
}
