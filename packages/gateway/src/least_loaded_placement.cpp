#include <hemlocknotch/gateway/least_loaded_placement.hpp>

namespace hemlocknotch::gateway {

placement least_loaded_placement::choose(const placement_request& /*request*/,
                                         std::span<const endpoint_load> endpoints) const
{
    placement out;
    double least = 0.0;
    for (std::size_t n = 0; n < endpoints.size(); ++n) {
        const auto& it = endpoints[n];
        if (!it.is_usable) {
            continue;
        }
        out.has_candidates = true;
        const auto load = static_cast<double>(it.running) / it.slots;
        if (it.running < it.slots + requests_ahead && (!out.endpoint || load < least)) {
            out.endpoint = n;
            least = load;
        }
    }
    return out;
}

} // namespace hemlocknotch::gateway
