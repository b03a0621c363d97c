#include "registry_log.hpp"

#include <utility>
#include <variant>

namespace hemlocknotch::daemon {
namespace {

/// Returns why an entry cannot be read; empty if it can, or is not for gateways to read.
std::string_view fault_of(const gateway::registry_change& it)
{
    const auto* item = std::get_if<gateway::unreadable_item>(&it.item);
    return item == nullptr || it.is_removed ? std::string_view{} : item->fault;
}

} // namespace

std::string_view registry_status_text(gateway::registry_status status)
{
    switch (status) {
    case gateway::registry_status::ok:
        return "ok";
    case gateway::registry_status::refused:
        return "refused";
    case gateway::registry_status::history_lost:
        return "history-lost";
    case gateway::registry_status::lease_lost:
        return "lease-lost";
    case gateway::registry_status::unknown:
        break;
    }
    return "no-answer";
}

std::optional<log_effect> unreadable_entries::note(std::span<const gateway::registry_change> changes,
                                                   bool is_complete)
{
    const auto before = is_complete ? std::exchange(logged_, {}) : std::set<std::string, std::less<>>{};
    const gateway::registry_change* first = nullptr;
    std::size_t count = 0;
    for (const auto& it : changes) {
        if (fault_of(it).empty()) {
            logged_.erase(it.key);
            continue;
        }
        if (logged_.size() >= max_keys) {
            logged_.clear();
        }
        if (logged_.insert(it.key).second && !before.contains(it.key)) {
            first = first == nullptr ? &it : first;
            ++count;
        }
    }
    if (first == nullptr) {
        return std::nullopt;
    }
    return log_effect{log_level::error,
                      "registry-entry-unreadable",
                      {{"key", first->key},
                       {"revision", std::to_string(first->revision)},
                       {"reason", std::string{fault_of(*first)}},
                       {"entries", std::to_string(count)}}};
}

} // namespace hemlocknotch::daemon
