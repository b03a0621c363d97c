#include "settings_parser.hpp"

#include <hemlocknotch/coordination/json_document.hpp>
#include <hemlocknotch/coordination/object_reader.hpp>

#include "setting_description.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <type_traits>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

using nlohmann::json;

constexpr std::size_t max_name_length = 64;

bool is_name(std::string_view text)
{
    const auto is_allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
               c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= max_name_length && std::ranges::all_of(text, is_allowed);
}

bool has_choice(std::string_view choices, std::string_view text)
{
    const auto bounded = "|" + std::string{choices} + "|";
    return !text.empty() && text.find('|') == std::string_view::npos &&
           bounded.find("|" + std::string{text} + "|") != std::string::npos;
}

/// Returns the value at a path of at most two parts; null where there is none.
const json* find_value(const json& document, std::string_view path)
{
    const auto dot = path.find('.');
    const auto it = document.find(path.substr(0, dot));
    if (it == document.end()) {
        return nullptr;
    }
    return dot == std::string_view::npos ? &*it
           : it->is_object()             ? find_value(*it, path.substr(dot + 1))
                                         : nullptr;
}

std::string_view owner_of(setting_scope scope)
{
    return scope == setting_scope::entry ? "entries" : "agents";
}

/// Fills in settings from a parsed document and collects the faults.
class settings_parser {
public:
    settings_parser(const json& document, process_role role, std::vector<document_error>& errors)
        : document_{document}, errors_{errors}
    {
        out_.role = role;
    }

    settings read()
    {
        for (const auto& it : setting_descriptions()) {
            if (applies_to(it, out_.role)) {
                read_one(it);
            }
        }
        check_keys(document_, "");
        copy_shared();
        check_names();
        check_combinations();
        return std::move(out_);
    }

private:
    void report(std::string_view path, std::string found, std::string allowed)
    {
        errors_.push_back({std::string{path}, std::move(found), std::move(allowed)});
    }

    void read_one(const setting_description& setting)
    {
        const auto* value = find_value(document_, setting.path);
        if (value == nullptr) {
            if (setting.is_required) {
                report(setting.path, "nothing", allowed_text(setting));
            }
            return;
        }
        const auto is_taken =
            std::visit([&](auto field) { return take(setting, *value, field(out_)); }, setting.field);
        if (!is_taken) {
            report(setting.path, describe(*value), allowed_text(setting));
        }
    }

    static bool take(const setting_description& setting, const json& value, std::string& out)
    {
        if (!value.is_string()) {
            return false;
        }
        out = value.get<std::string>();
        return setting.choices.empty() || has_choice(setting.choices, out);
    }

    static bool take(const setting_description& /*setting*/, const json& value,
                     std::optional<endpoint_address>& out)
    {
        if (value.is_string()) {
            out = endpoint_address::parse(value.get<std::string>());
        }
        return out.has_value();
    }

    static bool take(const setting_description& setting, const json& value, duration& out)
    {
        std::int64_t ms = 0;
        if (!take_number(setting, value, ms)) {
            return false;
        }
        out = std::chrono::milliseconds{ms};
        return true;
    }

    static bool take(const setting_description& /*setting*/, const json& value, bool& out)
    {
        if (!value.is_boolean()) {
            return false;
        }
        out = value.get<bool>();
        return true;
    }

    template <class Number>
    requires std::is_arithmetic_v<Number>

    static bool take(const setting_description& setting, const json& value, Number& out)
    {
        return take_number(setting, value, out);
    }

    template <class Number>
    static bool take_number(const setting_description& setting, const json& value, Number& out)
    {
        const auto is_right_type =
            std::is_floating_point_v<Number> ? value.is_number() : value.is_number_integer();
        if (!is_right_type) {
            return false;
        }
        const auto number = value.get<double>();
        if (!(number >= setting.least && number <= setting.most)) {
            return false;
        }
        out = value.get<Number>();
        return true;
    }

    void check_keys(const json& object, const std::string& group)
    {
        for (const auto& [key, value] : object.items()) {
            auto path = group;
            path += group.empty() ? "" : ".";
            path += key;
            if (is_group(path)) {
                if (value.is_object()) {
                    check_keys(value, path);
                }
                else {
                    report(path, describe(value), "an object with settings of this group");
                }
                continue;
            }
            check_key(path);
        }
    }

    static bool is_group(const std::string& path)
    {
        return std::ranges::any_of(setting_descriptions(),
                                   [&](const auto& it) { return it.path.starts_with(path + "."); });
    }

    void check_key(const std::string& path)
    {
        const auto all = setting_descriptions();
        const auto it = std::ranges::find(all, path, &setting_description::path);
        if (it == all.end()) {
            report(path, "an unknown key",
                   "the keys that `hemlocknotchd " + role_name() +
                       " --print-settings` lists; remove or correct it");
        }
        else if (!applies_to(*it, out_.role)) {
            report(path, "a key for " + std::string{owner_of(it->scope)} + " only", "leave it out");
        }
    }

    [[nodiscard]] std::string role_name() const
    {
        return out_.role == process_role::entry ? "entry" : "agent";
    }

    /// Settings that both kinds of daemon have are read into the entry's options.
    void copy_shared()
    {
        auto& entry = out_.entry;
        auto& agent = out_.agent;
        agent.watchers_per_domain = entry.watchers_per_domain;
        agent.report_interval = entry.report_interval;
        agent.heartbeat_interval = entry.heartbeat_interval;
        agent.peer_timeout = entry.peer_timeout;
        agent.out_of_reach_limit = entry.out_of_reach_limit;
        agent.stop_limit = entry.stop_limit;
        entry.identity.name = agent.identity.name = out_.name;
        entry.failure_domain = agent.failure_domain = out_.failure_domain;
    }

    void check_names()
    {
        check_name("name", out_.name);
        check_name("failure_domain", out_.failure_domain);
        if (out_.role == process_role::agent) {
            check_name("service", out_.agent.service);
        }
    }

    void check_name(std::string_view path, const std::string& value)
    {
        const auto* found = find_value(document_, path);
        if (found != nullptr && found->is_string() && !is_name(value)) {
            report(path, describe(*found), "1 to 64 letters, digits, `-`, `_` and `.`");
        }
    }

    void check_order(std::string_view low, duration low_value, std::string_view high, duration high_value)
    {
        if (low_value < high_value) {
            return;
        }
        const auto ms = [](duration value) { return std::to_string(value.count() / 1000); };
        report(high, ms(high_value), "more than " + std::string{low} + ", which is " + ms(low_value));
    }

    template <class Number>
    void check_not_above(std::string_view low, Number low_value, std::string_view high, Number high_value)
    {
        if (low_value > high_value) {
            report(low, std::to_string(low_value),
                   "at most " + std::string{high} + ", which is " + std::to_string(high_value));
        }
    }

    void check_combinations()
    {
        const auto& entry = out_.entry;
        const auto& agent = out_.agent;
        check_order("limits.heartbeat_interval_ms", entry.heartbeat_interval, "limits.silence_limit_ms",
                    entry.peer_timeout);
        // A watch that waits longer gives no sign of the service in time.
        check_order("limits.store_watch_limit_ms", out_.store_watch_limit, "limits.out_of_reach_limit_ms",
                    entry.out_of_reach_limit);
        if (out_.role == process_role::entry) {
            check_not_above("limits.max_waiting_per_account", entry.max_waiting_per_account,
                            "limits.max_waiting", entry.max_waiting);
            check_not_above("limits.max_body_bytes", out_.max_body_bytes, "limits.max_held_bytes",
                            entry.max_held_bytes);
            check_not_above("limits.reconnect_backoff_ms", entry.reconnect_backoff.count() / 1000,
                            "limits.reconnect_backoff_limit_ms",
                            entry.reconnect_backoff_limit.count() / 1000);
            return;
        }
        check_not_above("concurrency.initial", agent.initial_limit, "concurrency.max", agent.max_limit);
        check_not_above("limits.answer_kept_ms", agent.answer_retention.count() / 1000,
                        "limits.tombstone_kept_ms", agent.tombstone_retention.count() / 1000);
        check_not_above("limits.send_window_bytes", agent.send_window_bytes, "limits.max_answer_bytes",
                        agent.max_answer_bytes);
        if (out_.endpoint_kind_name == "plain" && out_.is_fencing_checked) {
            report("endpoint.checks_fencing", "true",
                   "false where endpoint.kind is plain; a plain service "
                   "takes no orders");
        }
    }

    const json& document_;
    std::vector<document_error>& errors_;
    settings out_;
};

} // namespace

settings_parse_result parse_settings(std::string_view text, process_role role)
{
    settings_parse_result out;
    const auto document = parse_json_document(text, out.errors);
    if (!document) {
        return out;
    }
    if (!document->is_object()) {
        out.errors.push_back({"", describe(*document), "an object with settings"});
        return out;
    }
    auto value = settings_parser{*document, role, out.errors}.read();
    if (out.errors.empty()) {
        out.accepted = std::move(value);
    }
    return out;
}

} // namespace hemlocknotch::daemon
