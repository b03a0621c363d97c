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
    "  hemlocknotchd entry --settings entry.json   accepts callers' requests and dispatches them to agents\n"
    "  hemlocknotchd gateway --settings gateway.json   accepts callers' requests and calls endpoints "
    "directly\n"
    "  hemlocknotchd agent --settings agent.json   runs beside one endpoint and decides which requests run "
    "there\n"
    "\n"
    "A settings file is JSON with comments. --print-settings lists all settings; --check checks a file "
    "without\n"
    "starting the daemon. Routes are not part of it: all daemons share one configuration, which operators\n"
    "change with hemlocknotchctl, see hemlocknotchctl --help.\n"
    "\n"
    "Once it listens, the daemon writes one JSON line with its addresses to stdout; log lines go to stderr.\n"
    "SIGTERM finishes all accepted work and exits; a second SIGTERM aborts it. SIGHUP reloads log.level.";

constexpr const char* exit_codes =
    "Exit codes: 0 stopped on request or check passed; 1 could not run; 2 invalid "
    "arguments or settings.";

struct arguments {
    std::string settings_path;
    bool is_check = false;
    bool is_print_settings = false;
};

/// Returns the content of a file, or nothing if it cannot be read.
std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

/// Reads and checks a settings file. Writes its errors to stderr and returns nothing if there are any.
std::optional<settings> load_settings(const std::string& path, process_role role)
{
    const auto text = read_file(path);
    if (!text) {
        std::cerr << path << ": cannot be read. Name a file that exists and that this user may read.\n";
        return std::nullopt;
    }
    auto parsed_settings = parse_settings(*text, role);
    for (const auto& error : parsed_settings.errors) {
        std::cerr << path << ": " << to_string(error) << "\n";
    }
    return parsed_settings.accepted;
}

/// Reloads the settings file. Returns its log level, or nothing if the file has errors.
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
            std::cerr << "hemlocknotchd: could not start: unknown error.\n";
            return exit_failed;
        });
}

int run_role(const arguments& args, process_role role)
{
    if (args.is_print_settings) {
        std::cout << settings_reference(role);
        return exit_ok;
    }
    if (args.settings_path.empty()) {
        std::cerr
            << "--settings FILE is missing. Name a settings file; --print-settings lists the settings.\n";
        return exit_usage;
    }
    const auto values = load_settings(args.settings_path, role);
    if (!values) {
        return exit_usage;
    }
    if (args.is_check) {
        std::cout << args.settings_path << ": the settings are valid.\n";
        return exit_ok;
    }
    return role == process_role::entry ? run<entry_shell>(*values, args.settings_path)
                                       : run<agent_shell>(*values, args.settings_path);
}

CLI::App* add_role(CLI::App& app, const std::string& name, const std::string& meaning, arguments& args)
{
    auto* role = app.add_subcommand(name, meaning);
    role->add_option("--settings", args.settings_path, "Settings file (JSON with comments)")
        ->type_name("FILE");
    role->add_flag("--check", args.is_check, "Check the settings, print their errors, and exit");
    role->add_flag("--print-settings", args.is_print_settings,
                   "Print each setting with its unit, range and default, and exit");
    role->footer(exit_codes);
    return role;
}

} // namespace

int run_command_line(int argc, char** argv)
{
    CLI::App app{description, "hemlocknotchd"};
    arguments args;
    app.set_version_flag("--version", std::string{"hemlocknotchd "} + HEMLOCKNOTCH_VERSION);
    app.footer(exit_codes);
    bool is_print_settings = false;
    app.add_flag("--print-settings", is_print_settings, "Print the settings of entry and agent, and exit");
    auto* entry = add_role(app, "entry", "Accept callers' requests and dispatch them to agents", args);
    auto* agent = add_role(app, "agent", "Run beside one endpoint and decide which requests run there", args);
    auto* gateway =
        app.add_subcommand("gateway", "Accept callers' requests and call endpoints on the users' platform");
    gateway->add_option("--settings", args.settings_path, "Settings file (JSON with comments)")
        ->type_name("FILE")
        ->envname(platform::settings_path_variable);
    gateway->add_flag("--check", args.is_check, "Check the settings, print their errors, and exit");
    gateway->footer(exit_codes);
    app.require_subcommand(0, 1);
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? exit_ok : exit_usage;
    }
    try {
        if (entry->parsed()) {
            return run_role(args, process_role::entry);
        }
        if (agent->parsed()) {
            return run_role(args, process_role::agent);
        }
        if (gateway->parsed()) {
            return run_gateway(args.settings_path, args.is_check);
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
