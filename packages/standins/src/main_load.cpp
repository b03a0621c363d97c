#include <hemlocknotch/standins/execution_check.hpp>
#include <hemlocknotch/standins/http_server.hpp>
#include <hemlocknotch/standins/load_runner.hpp>
#include <hemlocknotch/standins/page_fetcher.hpp>
#include <hemlocknotch/standins/program.hpp>
#include <hemlocknotch/standins/stated_outcomes.hpp>

#include <nlohmann/json.hpp>

#include <cmath>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

using namespace hemlocknotch::standins;
using hemlocknotch::duration;
using hemlocknotch::endpoint_address;

struct arguments {
    std::string size = "saadruil";
    std::string trace_path;
    std::string outcomes_path;
    std::string record_path;
    std::vector<std::string> entries;
    std::vector<std::string> engines;
    std::vector<std::string> plain_services;
    std::string spread = "even";
    std::uint64_t seed = 1;
    std::uint32_t seconds = 45;
    std::uint32_t warm_up_seconds = 0;
    std::uint32_t drain_seconds = 10;
    bool is_withdrawing = true;
};

std::string text_of(const std::string& path)
{
    std::ifstream file{path};
    if (!file) {
        throw std::runtime_error{"cannot read " + path};
    }
    return {std::istreambuf_iterator<char>{file}, {}};
}

std::vector<endpoint_address> addresses_of(const std::vector<std::string>& texts)
{
    std::vector<endpoint_address> addresses;
    addresses.reserve(texts.size());
    for (const std::string& it : texts) {
        addresses.push_back(listening_address(it));
    }
    return addresses;
}

load_options options_of(const arguments& args)
{
    if (args.warm_up_seconds >= args.seconds) {
        throw std::runtime_error{"--warm-up-seconds has to be below --seconds"};
    }
    load_options options;
    for (const std::string& it : args.entries) {
        options.entries.push_back(parse_balanced_entry(it));
    }
    options.engines = addresses_of(args.engines);
    options.spread = args.spread == "skewed" ? account_spread::skewed : account_spread::even;
    options.seed = args.seed;
    options.length = std::chrono::seconds{args.seconds};
    options.warm_up = std::chrono::seconds{args.warm_up_seconds};
    options.drain = std::chrono::seconds{args.drain_seconds};
    options.is_withdrawing = args.is_withdrawing;
    return options;
}

/// Fetches the page `/bookings` of every plain service.
std::vector<nlohmann::json> booking_pages(event_loop& loop, const std::vector<endpoint_address>& services)
{
    std::vector<nlohmann::json> pages;
    std::vector<std::unique_ptr<page_fetcher>> fetchers;
    for (const endpoint_address& address : services) {
        fetchers.push_back(std::make_unique<page_fetcher>(loop.base(), address, "/bookings",
                                                          [&](const nlohmann::json& page) {
                                                              pages.push_back(page);
                                                              if (pages.size() == services.size()) {
                                                                  loop.stop();
                                                              }
                                                          }));
        fetchers.back()->fetch();
    }
    if (!services.empty()) {
        loop.run();
    }
    for (const nlohmann::json& it : pages) {
        if (!it.is_object()) {
            throw std::runtime_error{"a plain service does not tell what it has executed"};
        }
    }
    return pages;
}

nlohmann::json to_json(const load_record& record)
{
    const auto milliseconds = [](const std::optional<duration>& time) {
        return time ? nlohmann::json(std::chrono::duration<double, std::milli>{*time}.count())
                    : nlohmann::json{};
    };
    return {{"number", record.number},
            {"account", record.account},
            {"profile", record.profile},
            {"entry", record.entry},
            {"is_model", record.is_model},
            {"sent_ms", milliseconds(record.sent)},
            {"head_ms", milliseconds(record.head)},
            {"first_byte_ms", milliseconds(record.first_byte)},
            {"ended_ms", milliseconds(record.ended)},
            {"outcome", to_string(record.outcome)},
            {"status", record.status},
            {"code", record.code},
            {"booking", record.booking},
            {"request_id", record.request_id}};
}

void write_records(const std::string& path, const std::vector<load_record>& records)
{
    std::ofstream file{path};
    for (const load_record& it : records) {
        file << to_json(it).dump() << '\n';
    }
}

/// Runs the load and returns the summary.
nlohmann::json run_load(const arguments& args)
{
    const auto mix = find_deployment(args.size);
    if (!mix) {
        throw std::runtime_error{"no deployment of this name"};
    }
    event_loop loop;
    load_runner runner{loop, *mix, read_trace(text_of(args.trace_path)), options_of(args)};
    runner.run();
    nlohmann::json summary = runner.metrics().summary(runner.records());
    const execution_findings findings =
        check_executions(runner.records(), booking_pages(loop, addresses_of(args.plain_services)));
    summary["double_runs"] = findings.double_runs;
    summary["false_not_run"] = findings.false_not_run;
    summary["false_ran"] = findings.false_ran;
    if (!args.record_path.empty()) {
        write_records(args.record_path, runner.records());
    }
    return summary;
}

} // namespace

int main(int argc, char** argv)
{
    arguments args;
    CLI::App app{"Replays a trace against entries, checks every answer and prints figures as JSON", "load"};
    app.add_option("--size", args.size, "Deployment whose accounts and profiles the trace names")
        ->check(CLI::IsMember({"saadruil", "fassregister"}))
        ->capture_default_str();
    app.add_option("--trace", args.trace_path, "Trace to replay")->required();
    app.add_option("--entry", args.entries, "NAME=CALLERS,OPERATORS, once an entry")->required();
    app.add_option("--engine", args.engines, "Control address of an engine, for utilisation");
    app.add_option("--plain", args.plain_services, "Control address of a plain service, for double runs");
    app.add_option("--spread", args.spread, "Spread of accounts over entries")
        ->check(CLI::IsMember({"even", "skewed"}))
        ->capture_default_str();
    app.add_option("--seed", args.seed, "Seed of the choice of entries")->capture_default_str();
    app.add_option("--seconds", args.seconds, "Length of the run")->capture_default_str();
    app.add_option("--warm-up-seconds", args.warm_up_seconds,
                   "Utilisation is taken from here on; below --seconds")
        ->capture_default_str();
    app.add_option("--drain-seconds", args.drain_seconds, "Time for answers to end after that")
        ->capture_default_str();
    app.add_flag("!--wait-for-all", args.is_withdrawing,
                 "Let requests that still wait after the run begin too");
    app.add_option("--outcomes", args.outcomes_path, "Stated outcomes to check");
    app.add_option("--record", args.record_path, "File for one JSON line a request");
    bool is_failed = false;
    const int code = run_program(app, argc, argv, [&] {
        const nlohmann::json summary = run_load(args);
        if (!args.outcomes_path.empty()) {
            for (const auto& it :
                 failed_outcomes(nlohmann::json::parse(text_of(args.outcomes_path)), summary)) {
                std::cerr << "load: " << it << '\n';
                is_failed = true;
            }
        }
        std::cout << summary.dump() << std::endl;
    });
    return code != 0 ? code : static_cast<int>(is_failed);
}
