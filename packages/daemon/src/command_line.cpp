#include "command_line.hpp"

#include <hemlocknotch/platform/settings_path.hpp>

#include "agent_shell.hpp"
#include "entry_shell.hpp"
#include "gateway/gateway_command.hpp"
#include "settings_parser.hpp"
#include "settings_reference.hpp"
#include "start_error.hpp"

#include <CLI/CLI.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

namespace hemlocknotch::daemon {
namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

constexpr const char* description =
    "hemlocknotchd: shares model engines and plain services fairly between client accounts.\n"
    "\n"
    "  hemlocknotchd entry --settings entry.json   takes callers' requests and passes them to agents\n"
    "  hemlocknotchd gateway --settings gateway.json   takes callers' requests and calls endpoints itself\n"
    "  hemlocknotchd agent --settings agent.json   stands beside one endpoint and decides what runs there\n"
    "\n"
    "A settings file is JSON with comments. See what may stand in it with --print-settings, and check one\n"
    "without starting anything with --check. What is routed where is not set here: operators keep that in\n"
    "one configuration for all daemons, see hemlocknotchctl --help.\n"
    "\n"
    "Once it listens, the daemon writes one JSON line with its addresses to stdout; log lines go to stderr.\n"
    "SIGTERM finishes all accepted work and exits; a second one ends it at once. SIGHUP reads log.level\n"
    "again.";

constexpr const char* exit_codes = "Exit codes: 0 stopped as asked or check passed; 1 could not run; 2 bad "
                                   "usage or settings.";

struct arguments {
    std::string settings_path;
    bool is_check = false;
    bool is_print_settings = false;
};

/// Returns the text of a file, or nothing where it cannot be read.
std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

/// Reads and checks a settings file; tells people what is wrong with it.
std::optional<settings> load_settings(const std::string& path, process_role role)
{
    const auto text = read_file(path);
    if (!text) {
        std::cerr << path << ": cannot be read. Name a file that exists and that this user may read.\n";
        return std::nullopt;
    }
    auto reading = parse_settings(*text, role);
    for (const auto& error : reading.errors) {
        std::cerr << path << ": " << to_string(error) << "\n";
    }
    return reading.accepted;
}

/// Reads the settings file again; returns the log level in it, or nothing where the file has faults.
std::optional<std::string> reload_log_level(const std::string& path, process_role role)
{
    const auto values = load_settings(path, role);
    return values ? std::optional{values->log_level} : std::nullopt;
}

template <class Shell>
int run(const settings& values, const std::string& path)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            Shell shell{values};
            shell.runtime().set_reload([&] { return reload_log_level(path, values.role); });
            BOOST_LEAF_AUTO(line, shell.start());
            std::cout << line << std::endl;
            shell.runtime().run();
            return exit_ok;
        },
        [](const start_error& error) {
            std::cerr << "hemlocknotchd: " << error.what << ". " << error.remedy << "\n";
            return exit_failed;
        },
        [] {
            std::cerr << "hemlocknotchd: could not start for an unknown reason.\n";
            return exit_failed;
        });
}

int run_role(const arguments& given, process_role role)
{
    if (given.is_print_settings) {
        std::cout << settings_reference(role);
        return exit_ok;
    }
    if (given.settings_path.empty()) {
        std::cerr
            << "--settings FILE is missing. Name a settings file; --print-settings lists what may stand "
               "in it.\n";
        return exit_usage;
    }
    const auto values = load_settings(given.settings_path, role);
    if (!values) {
        return exit_usage;
    }
    if (given.is_check) {
        std::cout << given.settings_path << ": the settings are good.\n";
        return exit_ok;
    }
    return role == process_role::entry ? run<entry_shell>(*values, given.settings_path)
                                       : run<agent_shell>(*values, given.settings_path);
}

CLI::App* add_role(CLI::App& app, const std::string& name, const std::string& meaning, arguments& given)
{
    auto* role = app.add_subcommand(name, meaning);
    role->add_option("--settings", given.settings_path, "Settings file (JSON with comments)")
        ->type_name("FILE");
    role->add_flag("--check", given.is_check, "Check the settings, say what is wrong, and exit");
    role->add_flag("--print-settings", given.is_print_settings,
                   "Print every setting with unit, range and default, and exit");
    role->footer(exit_codes);
    return role;
}

} // namespace

int run_command_line(int argc, char** argv)
{
    CLI::App app{description, "hemlocknotchd"};
    arguments given;
    app.set_version_flag("--version", std::string{"hemlocknotchd "} + HEMLOCKNOTCH_VERSION);
    app.footer(exit_codes);
    bool is_print_settings = false;
    app.add_flag("--print-settings", is_print_settings, "Print the settings of both daemons, and exit");
    auto* entry = add_role(app, "entry", "Take callers' requests and pass them to agents", given);
    auto* agent = add_role(app, "agent", "Stand beside one endpoint and decide what runs there", given);
    auto* direct =
        app.add_subcommand("gateway", "Take callers' requests and call endpoints on the users' platform");
    direct->add_option("--settings", given.settings_path, "Settings file (JSON with comments)")
        ->type_name("FILE")
        ->envname(platform::settings_path_variable);
    direct->add_flag("--check", given.is_check, "Check the settings, say what is wrong, and exit");
    direct->footer(exit_codes);
    app.require_subcommand(0, 1);
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? exit_ok : exit_usage;
    }
    try {
        if (entry->parsed()) {
            return run_role(given, process_role::entry);
        }
        if (agent->parsed()) {
            return run_role(given, process_role::agent);
        }
        if (direct->parsed()) {
            return run_gateway(given.settings_path, given.is_check);
        }
    }
    catch (const std::exception& error) {
        std::cerr << "hemlocknotchd: " << error.what() << "\n";
        return exit_failed;
    }
    if (is_print_settings) {
        std::cout << settings_reference(std::nullopt);
        return exit_ok;
    }
    std::cerr << app.help();
    return exit_usage;
}

} // namespace hemlocknotch::daemon
