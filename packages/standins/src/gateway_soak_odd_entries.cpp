#include <hemlocknotch/standins/gateway_soak.hpp>
#include <hemlocknotch/standins/odd_entries.hpp>

#include <chrono>
#include <cstddef>
#include <string>

namespace hemlocknotch::standins {
namespace {

/// One of so many steps writes an odd entry.
constexpr int steps_per_odd_entry = 40;
/// Longest time until an odd entry under a new name is removed.
constexpr int max_entry_ms = 5000;

} // namespace

void gateway_soak::add_odd_entries()
{
    if (draw_odd(steps_per_odd_entry) != 0) {
        return;
    }
    ++fault_count_;
    if (draw_odd(3) == 0) {
        // The next heartbeat of the endpoint repairs it.
        const auto n = static_cast<std::size_t>(draw_odd(static_cast<int>(endpoints_.size())));
        return store_.put(endpoints_[n]->key(), draw_odd_value(endpoints_[n]->registration()));
    }
    const auto is_model = draw_odd(2) == 0;
    const auto sound = unnamed_endpoint_.registration(is_model ? "model" : "plain");
    auto key = "servers/odd-" + std::to_string(++odd_registrations_);
    if (draw_odd(4) == 0) {
        key += "\r\nX-Other: 1";
        store_.put(key, sound);
    }
    else {
        store_.put(key, draw_odd_value(sound));
    }
    undo_at(now() + std::chrono::milliseconds{1 + draw_odd(max_entry_ms)},
            [this, key] { store_.remove(key); });
}

std::string gateway_soak::draw_odd_value(const std::string& sound)
{
    const auto entries = create_odd_entries(sound);
    return entries[static_cast<std::size_t>(draw_odd(static_cast<int>(entries.size())))].value;
}

int gateway_soak::draw_odd(int n)
{
    return std::uniform_int_distribution<int>{0, n - 1}(odd_entry_random_);
}

} // namespace hemlocknotch::standins
