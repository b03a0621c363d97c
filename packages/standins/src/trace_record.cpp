#include <hemlocknotch/standins/trace_record.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cmath>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace hemlocknotch::standins {
namespace {

constexpr double milliseconds_per_second = 1000.0;

double rounded(double value, double steps)
{
    return std::round(value * steps) / steps;
}

} // namespace

std::optional<trace_record> read_trace_record(std::string_view line)
{
    const nlohmann::json item = nlohmann::json::parse(line, nullptr, false);
    if (!item.is_object()) {
        return std::nullopt;
    }
    try {
        trace_record record;
        const std::chrono::duration<double> time{item.at("time").get<double>()};
        record.time = std::chrono::duration_cast<duration>(time);
        record.account = item.at("account").get<std::string>();
        record.profile = item.at("profile").get<std::string>();
        record.size = item.at("size").get<std::uint64_t>();
        if (item.contains("cost_hint")) {
            record.cost_hint = item.at("cost_hint").get<double>();
        }
        record.true_cost = item.at("true_cost").get<double>();
        record.is_idempotent = item.at("idempotent").get<bool>();
        record.key = item.value("key", std::string{});
        record.prefix = item.value("prefix", std::string{});
        return record;
    }
    catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::string to_line(const trace_record& record)
{
    const std::chrono::duration<double> time = record.time;
    nlohmann::json item{{"time", rounded(time.count(), milliseconds_per_second)},
                        {"account", record.account},
                        {"profile", record.profile},
                        {"size", record.size},
                        {"true_cost", record.true_cost},
                        {"idempotent", record.is_idempotent}};
    if (record.cost_hint) {
        item["cost_hint"] = rounded(*record.cost_hint, 1.0);
    }
    if (!record.key.empty()) {
        item["key"] = record.key;
    }
    if (!record.prefix.empty()) {
        item["prefix"] = record.prefix;
    }
    return item.dump();
}

std::vector<trace_record> read_trace(std::string_view text)
{
    std::vector<trace_record> records;
    std::istringstream lines{std::string{text}};
    std::string line;
    for (std::size_t number = 1; std::getline(lines, line); ++number) {
        auto record = read_trace_record(line);
        if (!record) {
            throw std::runtime_error{"line " + std::to_string(number) + " is no trace record"};
        }
        if (!records.empty() && record->time < records.back().time) {
            throw std::runtime_error{"line " + std::to_string(number) + " is earlier than the one before it"};
        }
        records.push_back(std::move(*record));
    }
    return records;
}

} // namespace hemlocknotch::standins
