#include "agent_choice.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace hemlocknotch {
namespace {

/// Keeps the links that `is_preferred`, if there are any.
template <class Predicate>
void narrow(std::vector<agent_link*>& links, Predicate is_preferred)
{
    std::vector<agent_link*> preferred;
    std::copy_if(links.begin(), links.end(), std::back_inserter(preferred), is_preferred);
    if (!preferred.empty()) {
        links = std::move(preferred);
    }
}

} // namespace

agent_link* choose_for_direct(std::span<agent_link* const> with_room, std::uint64_t prefix,
                              std::string_view own_domain, choice_random& random)
{
    if (with_room.empty()) {
        return nullptr;
    }
    std::vector<agent_link*> links{with_room.begin(), with_room.end()};
    if (prefix != 0) {
        narrow(links, [prefix](const agent_link* it) {
            return std::find(it->cached_prefixes.begin(), it->cached_prefixes.end(), prefix) !=
                   it->cached_prefixes.end();
        });
    }
    narrow(links, [own_domain](const agent_link* it) { return it->failure_domain == own_domain; });
    agent_link* const first = links[random.next_bits() % links.size()];
    agent_link* const second = links[random.next_bits() % links.size()];
    return second->room > first->room ? second : first;
}

} // namespace hemlocknotch
