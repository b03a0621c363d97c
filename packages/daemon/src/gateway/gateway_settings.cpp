#include "gateway_settings.hpp"

#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

using nlohmann::json;

/// Reads fields by their JSON pointer and collects the errors.
class settings_reader {
public:
    explicit settings_reader(const json& root) : root_{root} {}

    std::string text(const std::string& path)
    {
        const auto* it = find(path);
        if (it == nullptr || !it->is_string() || it->get_ref<const std::string&>().empty()) {
            add_error(path, "is missing or not a text string", "Give a text string that is not empty");
            return {};
        }
        return it->get<std::string>();
    }

    /// Reads an address. An absent one is an error where `is_required` is set.
    std::optional<endpoint_address> address(const std::string& path, bool is_required)
    {
        const auto* it = find(path);
        if (it == nullptr && !is_required) {
            return std::nullopt;
        }
        auto out =
            it != nullptr && it->is_string() ? endpoint_address::parse(it->get<std::string>()) : std::nullopt;
        if (!out) {
            add_error(path, "is missing or not an address",
                      "Give a numeric IP address with a port, such as 127.0.0.1:8080");
        }
        return out;
    }

    std::vector<endpoint_address> addresses(const std::string& path)
    {
        std::vector<endpoint_address> out;
        const auto* it = find(path);
        if (it == nullptr) {
            return out;
        }
        if (!it->is_array()) {
            add_error(path, "is not an array", "Give an array of addresses");
            return out;
        }
        for (const auto& element : *it) {
            auto read =
                element.is_string() ? endpoint_address::parse(element.get<std::string>()) : std::nullopt;
            if (!read) {
                add_error(path, "has an element that is not an address",
                          "Give numeric IP addresses with ports");
                return out;
            }
            out.push_back(std::move(*read));
        }
        return out;
    }

    double number(const std::string& path, double fallback, double minimum,
                  double maximum = std::numeric_limits<double>::infinity())
    {
        const auto* it = find(path);
        if (it == nullptr) {
            return fallback;
        }
        if (!it->is_number() || it->get<double>() < minimum || it->get<double>() > maximum) {
            const auto upper = maximum < std::numeric_limits<double>::infinity()
                                   ? " and at most " + std::to_string(maximum)
                                   : std::string{};
            add_error(path, "is not a number in its range",
                      "Give a number of at least " + std::to_string(minimum) + upper);
            return fallback;
        }
        return it->get<double>();
    }

    std::vector<std::string> take_errors() { return std::move(errors_); }

private:
    /// Returns the field at `path`; null where it is absent or null.
    const json* find(const std::string& path) const
    {
        const json::json_pointer pointer{path};
        if (!root_.contains(pointer)) {
            return nullptr;
        }
        const auto& it = root_.at(pointer);
        return it.is_null() ? nullptr : &it;
    }

    void add_error(const std::string& path, const std::string& what, const std::string& remedy)
    {
        errors_.push_back(path + " " + what + ". " + remedy + ".");
    }

    const json& root_;
    std::vector<std::string> errors_;
};

duration to_duration(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{value});
}

} // namespace

gateway_settings_parse_result parse_gateway_settings(std::string_view text)
{
    const auto root = json::parse(text, nullptr, false, true);
    if (!root.is_object()) {
        return {std::nullopt, {"The file is not a JSON object. Give one object; comments are allowed."}};
    }
    settings_reader reader{root};
    gateway_settings out;
    out.instance = reader.text("/instance");
    out.failure_domain = reader.text("/failure_domain");
    out.callers = reader.address("/listen/callers", true);
    out.readiness = reader.address("/listen/readiness", true);
    out.members = reader.address("/listen/members", false);
    out.registry = reader.address("/listen/registry", false);
    out.metrics = reader.address("/listen/metrics", false);
    out.store = reader.address("/store", true);
    out.seeds = reader.addresses("/seeds");
    constexpr double min_descriptors = 64.0;
    out.descriptors = static_cast<std::size_t>(
        reader.number("/limits/descriptors", static_cast<double>(out.descriptors), min_descriptors));
    constexpr double megabyte = 1e6;
    out.memory = static_cast<std::size_t>(
        megabyte * reader.number("/limits/memory_mb", static_cast<double>(out.memory) / megabyte,
                                 static_cast<double>(gateway::memory_budget::min_instance_bytes) / megabyte,
                                 1e6));
    out.stop_grace = to_duration(reader.number("/limits/stop_grace_s", 8.0, 1.0));
    out.drain_bound = to_duration(reader.number("/bounds/drain_ms", 2000.0, 100.0) / 1000.0);
    out.configuration_bound = to_duration(reader.number("/bounds/configuration_ms", 2000.0, 100.0) / 1000.0);
    out.retry_ratio = reader.number("/bounds/retry_ratio", out.retry_ratio, 0.0);
    out.retry_reserve = reader.number("/bounds/retry_reserve", out.retry_reserve, 0.0);
    out.exposure_share = reader.number("/bounds/exposure_share", out.exposure_share, 0.0, 1.0);
    auto& placement = out.placement;
    placement.fanout = static_cast<std::size_t>(
        reader.number("/placement/fanout", static_cast<double>(placement.fanout), 1.0));
    placement.copy_factor = reader.number("/placement/copy_factor", placement.copy_factor, 0.0);
    placement.spill_endpoints = static_cast<std::size_t>(
        reader.number("/placement/spill_endpoints", static_cast<double>(placement.spill_endpoints), 0.0));
    placement.spill_factor = reader.number("/placement/spill_factor", placement.spill_factor, 0.0);
    placement.spill_seconds = reader.number("/placement/spill_seconds", placement.spill_seconds, 0.0);
    placement.window_seconds = reader.number("/placement/window_seconds", placement.window_seconds, 0.0);
    placement.rate_factor = reader.number("/placement/rate_factor", placement.rate_factor, 0.0);
    placement.excess_window_seconds =
        reader.number("/placement/excess_window_seconds", placement.excess_window_seconds, 0.0);
    placement.excess_rate_factor =
        reader.number("/placement/excess_rate_factor", placement.excess_rate_factor, 0.0);
    placement.beyond_part = reader.number("/placement/beyond_part", placement.beyond_part, 0.0);
    out.present_headroom = reader.number("/placement/present_headroom", out.present_headroom, 1.0);
    out.excess_wait_share = reader.number("/placement/excess_wait_share", out.excess_wait_share, 0.0);
    out.share_capacity = reader.number("/placement/share_capacity", out.share_capacity, 0.01);
    out.wait_share = reader.number("/placement/wait_share", out.wait_share, 0.0);
    auto errors = reader.take_errors();
    if (!errors.empty()) {
        return {std::nullopt, std::move(errors)};
    }
    return {std::move(out), {}};
}

} // namespace hemlocknotch::daemon
