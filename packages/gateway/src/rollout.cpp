#include <hemlocknotch/gateway/rollout.hpp>

namespace hemlocknotch::gateway {

std::string_view to_text(rollout_phase phase)
{
    switch (phase) {
    case rollout_phase::observing:
        return "observing";
    case rollout_phase::moving:
        return "moving";
    case rollout_phase::completed:
        return "completed";
    case rollout_phase::rolled_back:
        break;
    }
    return "rolled_back";
}

} // namespace hemlocknotch::gateway
