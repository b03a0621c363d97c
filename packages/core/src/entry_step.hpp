#pragma once

#include <hemlocknotch/core/entry_effect.hpp>
#include <hemlocknotch/core/time.hpp>

#include "event_random.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlocknotch {

/// The handling of one event by the reducer of an entry process: the event's time and entropy, and the
/// effects that the handlers have added.
class entry_step {
public:
    entry_step(instant now, std::uint64_t entropy) : now_{now}, random_{entropy} {}

    /// Returns the time of the event.
    [[nodiscard]] instant now() const { return now_; }

    /// Adds an effect.
    void emit(entry_effect effect) { effects_.push_back(std::move(effect)); }

    /// Adds a metric without a label.
    void count(metric_kind kind, std::string_view name, double value = 1.0)
    {
        emit(metric_effect{kind, name, {}, {}, value});
    }

    /// Adds a counter with a label.
    void count_labelled(std::string_view name, std::string_view label, std::string_view value)
    {
        emit(metric_effect{metric_kind::counter, name, label, std::string{value}, 1.0});
    }

    /// Returns the random number generator seeded with the event's entropy.
    event_random& random() { return random_; }

    /// Returns the effects and leaves none behind.
    std::vector<entry_effect> take_effects() { return std::move(effects_); }

private:
    instant now_;
    event_random random_;
    std::vector<entry_effect> effects_;
};

} // namespace hemlocknotch
