#include "agent_choice.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace hemlocknotch {
namespace {

/// Keeps the links that `is_preferred`, if there are any.
template <class Predicate>
void narrow(std::vector<outgoing_link*>& links, Predicate is_preferred)
{
    std::vector<outgoing_link*> preferred;
    std::copy_if(links.begin(), links.end(), std::back_inserter(preferred), is_preferred);
    if (!preferred.empty()) {
        links = std::move(preferred);
    }
}

} // namespace

outgoing_link* choose_agent_without_grant(std::span<outgoing_link* const> with_free_slots,
                                          std::uint64_t prefix, std::string_view own_domain,
                                          event_random& random)
{
    if (with_free_slots.empty()) {
        return nullptr;
    }
    std::vector<outgoing_link*> links{with_free_slots.begin(), with_free_slots.end()};
    if (prefix != 0) {
        narrow(links, [prefix](const outgoing_link* it) {
            return std::find(it->cached_prefixes.begin(), it->cached_prefixes.end(), prefix) !=
                   it->cached_prefixes.end();
        });
    }
    narrow(links, [own_domain](const outgoing_link* it) { return it->failure_domain == own_domain; });
    outgoing_link* const first = links[random.next_bits() % links.size()];
    outgoing_link* const second = links[random.next_bits() % links.size()];
    return second->free_slots > first->free_slots ? second : first;
}

} // namespace hemlocknotch
