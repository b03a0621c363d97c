#include <hemlocknotch/ctl/configuration_difference.hpp>

#include <nlohmann/json.hpp>

#include <cassert>
#include <map>
#include <string_view>

namespace hemlocknotch {
namespace {

/// Values of a configuration by path, written as JSON.
using flat_configuration = std::map<std::string, std::string>;

template <class Value>
std::string write(const Value& value)
{
    return nlohmann::json(value).dump();
}

std::string_view name_of(cost_unit unit)
{
    return unit == cost_unit::lines ? "lines" : "requests";
}

std::string_view name_of(urgency value)
{
    switch (value) {
    case urgency::prompt:
        return "prompt";
    case urgency::normal:
        return "normal";
    case urgency::slow:
        return "slow";
    }
    assert(false);
    return "";
}

void add_profile(flat_configuration& flat, const profile_definition& profile)
{
    const std::string path = "profiles." + profile.name + ".";
    const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(profile.deadline);
    flat[path + "service"] = write(profile.service);
    flat[path + "idempotent"] = write(profile.is_idempotent);
    flat[path + "resumable"] = write(profile.is_resumable);
    flat[path + "urgency"] = write(name_of(profile.work_urgency));
    flat[path + "deadline_ms"] = write(deadline.count());
    flat[path + "max_body_bytes"] = write(profile.max_body_bytes);
    flat[path + "max_attempts"] = write(profile.max_attempts);
}

flat_configuration flatten(const configuration_ptr& value)
{
    flat_configuration flat;
    if (!value) {
        return flat;
    }
    for (const auto& [name, service] : value->services) {
        flat["services." + name + ".cost_unit"] = write(name_of(service.unit));
        flat["services." + name + ".initial_estimate"] = write(service.initial_estimate);
    }
    for (const auto& [name, profile] : value->profiles) {
        add_profile(flat, profile);
    }
    for (const auto& [name, account] : value->client_accounts) {
        flat["client_accounts." + name + ".weight"] = write(account.weight);
    }
    for (const std::string& it : value->out.failure_domains) {
        flat["out_of_service.failure_domains." + it] = "out";
    }
    for (const std::string& it : value->out.instances) {
        flat["out_of_service.instances." + it] = "out";
    }
    return flat;
}

} // namespace

std::vector<configuration_change> compare_configurations(const configuration_ptr& before,
                                                         const configuration_ptr& after)
{
    assert(after);
    const flat_configuration old_values = flatten(before);
    const flat_configuration new_values = flatten(after);
    std::map<std::string, configuration_change> changes;
    for (const auto& [path, value] : old_values) {
        changes[path] = {path, value, ""};
    }
    for (const auto& [path, value] : new_values) {
        changes[path].path = path;
        changes[path].after = value;
    }
    std::vector<configuration_change> differences;
    for (const auto& [path, change] : changes) {
        if (change.before != change.after) {
            differences.push_back(change);
        }
    }
    return differences;
}

std::string to_string(const configuration_change& change)
{
    if (change.before.empty()) {
        return "+ " + change.path + ": " + change.after;
    }
    if (change.after.empty()) {
        return "- " + change.path + ": " + change.before;
    }
    return "~ " + change.path + ": " + change.before + " -> " + change.after;
}

} // namespace hemlocknotch
