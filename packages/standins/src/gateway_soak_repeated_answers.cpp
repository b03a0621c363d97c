#include <hemlocknotch/standins/gateway_soak.hpp>

#include <chrono>
#include <cstddef>
#include <random>

namespace hemlocknotch::standins {
namespace {

/// One of so many steps lets an endpoint reject requests and repeat the rejections.
constexpr int steps_per_repeater = 50;
constexpr int max_repeating_ms = 3000;
constexpr int max_requests_per_rejection = 4;
/// Time between two copies at a random moment.
constexpr int max_copy_pause_ms = 200;

} // namespace

int gateway_soak::draw_repeated(int n)
{
    return std::uniform_int_distribution<int>{0, n - 1}(repeated_random_);
}

void gateway_soak::add_repeated_answers()
{
    if (draw_repeated(steps_per_repeater) != 0) {
        return;
    }
    ++fault_count_;
    auto& it = *endpoints_[static_cast<std::size_t>(draw_repeated(static_cast<int>(endpoints_.size())))];
    auto& faults = it.endpoint().faults;
    faults.requests_per_rejection = 2U + static_cast<unsigned>(draw_repeated(max_requests_per_rejection - 1));
    faults.repeats_rejections = true;
    faults.repeats_without_id = draw_repeated(2) == 0;
    faults.rejects_without_id = draw_repeated(4) == 0;
    const auto ends_at = now() + std::chrono::milliseconds{1 + draw_repeated(max_repeating_ms)};
    for (auto at = now(); at < ends_at;
         at += std::chrono::milliseconds{1 + draw_repeated(max_copy_pause_ms)}) {
        undo_at(at, [&it] { it.endpoint().repeat_rejections(); });
    }
    undo_at(ends_at, [&faults] {
        faults.requests_per_rejection = 0;
        faults.repeats_rejections = false;
        faults.repeats_without_id = false;
        faults.rejects_without_id = false;
    });
}

} // namespace hemlocknotch::standins
