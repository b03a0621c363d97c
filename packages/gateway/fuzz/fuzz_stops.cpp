#include "fuzz_gateway.hpp"
#include "invariant_violation.hpp"

#include <algorithm>
#include <chrono>

namespace hemlocknotch::gateway {
namespace {

/// One of so many steps lets a gateway stop, and the longest time until it ends.
constexpr unsigned steps_per_stop = 2000;
constexpr unsigned max_stop_ms = 5000;

} // namespace

void fuzz_fleet::advance_stop(gateway_state& it)
{
    if (!it.stops_at) {
        if (stop_random_() % steps_per_stop == 0) {
            it.stops_at = now_ + std::chrono::milliseconds{stop_random_() % max_stop_ms};
            it.decisions->begin_stop(*it.stops_at, now_);
        }
        return;
    }
    if (now_ < *it.stops_at) {
        return;
    }
    it.decisions->end_all(now_);
    // A request whose caller has left needs no answer.
    const auto is_open = [](const auto& entry) { return !entry.second.is_ended && !entry.second.has_left; };
    if (!it.calls.empty() || it.decisions->exchange_count() > 0 ||
        std::ranges::any_of(it.requests, is_open)) {
        throw invariant_violation{"a request was still open at the end of its gateway"};
    }
    // The next start of the gateway.
    it.stops_at.reset();
    it.decisions->begin_stop(instant::max(), now_);
}

} // namespace hemlocknotch::gateway
