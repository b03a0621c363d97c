#include <hemlocknotch/gateway/random_placement.hpp>

#include <vector>

namespace hemlocknotch::gateway {

placement random_placement::choose(const placement_request& request,
                                   std::span<const endpoint_load> endpoints) const
{
    placement out;
    std::vector<std::size_t> with_room;
    with_room.reserve(endpoints.size());
    for (std::size_t n = 0; n < endpoints.size(); ++n) {
        const auto& it = endpoints[n];
        out.has_candidates = out.has_candidates || it.is_usable;
        if (it.is_usable && it.running < it.slots + requests_ahead) {
            with_room.push_back(n);
        }
    }
    if (!with_room.empty()) {
        out.endpoint = with_room[static_cast<std::size_t>(request.draw % with_room.size())];
    }
    return out;
}

} // namespace hemlocknotch::gateway
