#include "command_line.hpp"

#include <hemlocknotch/core/endpoint_address.hpp>

#include "exit_code.hpp"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <map>

namespace hemlocknotch {
namespace {

constexpr const char* description =
    "Operates a hemlocknotch fleet: checks and applies its configuration, takes failure domains and "
    "instances "
    "out of service and back, shows what each daemon runs, and shows one request's trace.";

constexpr const char* footer =
    "Results go to standard output, messages to standard error.\n"
    "Exit codes: 0 done, 2 faulty command line, 3 faulty document, 4 another change came first,\n"
    "5 a service gave no answer, 6 not found, 7 accepted but not in force everywhere in time.\n\n"
    "Example: hemlocknotchctl check fleet.json && hemlocknotchctl apply fleet.json --wait";

std::string check_address(const std::string& text)
{
    const bool is_good = text.empty() || endpoint_address::parse(text).has_value();
    return is_good ? ""
                   : text + " is no address; allowed: a numeric IP address and port, such as "
                            "10.0.0.5:2379 or [::1]:2379";
}

std::string default_author()
{
    const char* user = std::getenv("USER");
    return user == nullptr || *user == '\0' ? "unknown" : user;
}

/// Builds the command line's grammar over a `command_options`.
class grammar {
public:
    grammar()
    {
        app_.set_version_flag("--version", std::string{"hemlocknotchctl "} + HEMLOCKNOTCH_VERSION);
        app_.footer(footer);
        app_.require_subcommand(1);
        app_.fallthrough();
        add_global_options();
        add_document_commands();
        add_history_commands();
        add_out_of_service_command("take-out", command::take_out,
                                   "Take a failure domain or an instance out of service: it takes no new "
                                   "work, and finishes what it has");
        add_out_of_service_command("return", command::put_back,
                                   "Return a failure domain or an instance to service");
        add_status_command();
        add_trace_command();
        add_explain_command();
        add_rollouts_command();
        options_.author = default_author();
    }

    CLI::App& app() { return app_; }

    [[nodiscard]] const command_options& options() const { return options_; }

private:
    CLI::App* add_command(const std::string& name, command value, const std::string& text)
    {
        CLI::App* sub = app_.add_subcommand(name, text);
        sub->callback([this, value] { options_.chosen = value; });
        return sub;
    }

    void add_global_options()
    {
        constexpr std::uint32_t max_timeout_ms = 60'000;
        app_.add_option("--store", options_.store, "Address of the key-value service")
            ->envname("HEMLOCKNOTCH_STORE")
            ->check(check_address);
        app_.add_option("--instances", options_.instances, "Address of the instance list")
            ->envname("HEMLOCKNOTCH_INSTANCES")
            ->check(check_address);
        app_.add_option("--timeout-ms", options_.timeout_ms, "Time limit of one call, in milliseconds")
            ->check(CLI::Range(std::uint32_t{1}, max_timeout_ms))
            ->capture_default_str();
        app_.add_flag("--json", options_.is_json, "Write results as JSON, one value a line");
    }

    void add_wait_options(CLI::App* sub)
    {
        constexpr std::uint32_t max_wait_s = 3600;
        sub->add_flag("--wait", options_.is_waiting,
                      "Wait until every live daemon of the instance list runs the revision");
        sub->add_option("--wait-limit", options_.wait_limit_s, "Time limit of --wait, in seconds")
            ->check(CLI::Range(std::uint32_t{0}, max_wait_s))
            ->capture_default_str();
        sub->add_option("--author", options_.author,
                        "Who makes the change, for the history (default: $USER)");
    }

    void add_document_commands()
    {
        constexpr const char* file_text = "Configuration document, JSON with comments; - for standard input";
        CLI::App* check = add_command("check", command::check, "Check a document and report all faults");
        check->add_option("FILE", options_.file, file_text)->required();
        CLI::App* apply = add_command(
            "apply", command::apply,
            "Check a document and put it in force; without out_of_service in it, what is out stays out");
        apply->add_option("FILE", options_.file, file_text)->required();
        apply->add_option("--base", options_.base_revision,
                          "Revision that the document was made from, as told by show; fails with a conflict "
                          "where another one is in force");
        apply->add_option("--revision-above", options_.revision_above,
                          "Give the change a revision above this one; for a key-value service that has lost "
                          "the configuration which daemons still run");
        add_wait_options(apply);
        CLI::App* diff = add_command("diff", command::diff, "Show what applying a document would change");
        diff->add_option("FILE", options_.file, file_text)->required();
    }

    void add_history_commands()
    {
        constexpr std::uint32_t max_history = 50;
        CLI::App* show = add_command("show", command::show, "Show the document in force");
        show->add_option("--revision", options_.revision, "Show this earlier revision instead");
        CLI::App* history = add_command("history", command::history, "List the latest revisions");
        history->add_option("--limit", options_.history_limit, "Number of revisions")
            ->check(CLI::Range(std::uint32_t{1}, max_history))
            ->capture_default_str();
    }

    void add_out_of_service_command(const std::string& name, command value, const std::string& text)
    {
        static const std::map<std::string, out_of_service_kind> kinds{
            {"failure-domain", out_of_service_kind::failure_domain},
            {"instance", out_of_service_kind::instance}};
        CLI::App* sub = add_command(name, value, text);
        sub->add_option("KIND", options_.kind, "failure-domain or instance")
            ->required()
            ->transform(CLI::CheckedTransformer(kinds).description(""));
        sub->add_option("NAME", options_.name, "Name of the failure domain or instance")->required();
        add_wait_options(sub);
    }

    void add_status_command()
    {
        constexpr std::uint32_t min_interval_ms = 100;
        constexpr std::uint32_t max_interval_ms = 3'600'000;
        CLI::App* sub = add_command("status", command::status,
                                    "Show each daemon, and for each service its use and the gap in weighted "
                                    "service between client accounts");
        sub->add_flag("--watch", options_.is_watching,
                      "Show it again and again; the gap then covers the accounts served in between");
        sub->add_option("--interval-ms", options_.interval_ms, "Time between two looks, in milliseconds")
            ->check(CLI::Range(min_interval_ms, max_interval_ms))
            ->capture_default_str();
        sub->add_option("--count", options_.count, "Number of looks with --watch; 0 for no end")
            ->capture_default_str();
    }

    void add_trace_command()
    {
        CLI::App* sub = add_command("trace", command::trace, "Show one request's spans as a tree");
        sub->add_option("FILE", options_.trace_files, "Trace outputs of the daemons; - for standard input")
            ->required();
        sub->add_option("--request", options_.request, "Request id or trace id, 32 hexadecimal digits")
            ->required();
    }

    void add_explain_command()
    {
        CLI::App* sub = add_command("explain", command::explain,
                                    "Say what the gateways' logs tell of one request, and what it means");
        sub->add_option("REQUEST", options_.request, "Id of the request")->required();
        sub->add_option("FILE", options_.log_files, "Logs of the gateways; - for standard input")->required();
    }

    void add_rollouts_command()
    {
        CLI::App* sub = add_command("rollouts", command::rollouts,
                                    "Show the roll-outs that a gateway knows of: phase, evidence, exposure, "
                                    "and what the next phase waits for");
        sub->add_option("GATEWAY", options_.gateway, "Address of the gateway's metrics")
            ->required()
            ->check(check_address);
    }

    CLI::App app_{description, "hemlocknotchctl"};
    command_options options_;
};

} // namespace

command_line_reading read_command_line(int argc, const char* const* argv, std::ostream& out,
                                       std::ostream& err)
{
    grammar words;
    try {
        words.app().parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        const int code = words.app().exit(error, out, err);
        return {std::nullopt, code == 0 ? 0 : static_cast<int>(exit_code::usage)};
    }
    return {words.options(), 0};
}

} // namespace hemlocknotch
