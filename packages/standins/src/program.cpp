#include <hemlocknotch/standins/program.hpp>

#include <csignal>
#include <exception>
#include <iostream>

namespace hemlocknotch::standins {

int run_program(CLI::App& app, int argc, char** argv, const std::function<void()>& action)
{
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        return app.exit(error);
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        action();
    }
    catch (const std::exception& error) {
        std::cerr << app.get_name() << ": " << error.what() << '\n';
        return 1;
    }
    return 0;
}

} // namespace hemlocknotch::standins
