#pragma once

#include "entropy_source.hpp"
#include "process_clock.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>
#include <variant>

namespace hemlocknotch::daemon {

/// Hands events to a reducer one after the other and its effects, in order, to a function. An event that an
/// effect brings about is taken in after the effects of the event before it. Used by one thread.
template <class Reducer, class Event, class Effect>
class reducer_pump {
public:
    using content = decltype(Event::content);
    using executor = std::function<void(Effect&)>;

    /// All references must outlive the pump. Precondition: `execute` is not empty.
    reducer_pump(Reducer& reducer, const process_clock& clock, entropy_source& entropy, executor execute)
        : reducer_{reducer}, clock_{clock}, entropy_{entropy}, execute_{std::move(execute)}
    {
    }

    /// Takes in an event, now or after the one that is being worked off.
    void post(content value)
    {
        waiting_.push_back(std::move(value));
        if (is_working_) {
            return;
        }
        is_working_ = true;
        while (!waiting_.empty()) {
            Event event{clock_.now(), entropy_.next(), std::move(waiting_.front())};
            waiting_.pop_front();
            work_off(event);
        }
        is_working_ = false;
    }

    /// Returns the number of events taken in so far.
    [[nodiscard]] std::uint64_t event_count() const { return event_count_; }

    /// Returns the number of effects handed out so far.
    [[nodiscard]] std::uint64_t effect_count() const { return effect_count_; }

private:
    void work_off(const Event& event)
    {
        ++event_count_;
        auto effects = reducer_.reduce(event);
        effect_count_ += effects.size();
        for (auto& it : effects) {
            execute_(it);
        }
    }

    Reducer& reducer_;
    const process_clock& clock_;
    entropy_source& entropy_;
    executor execute_;
    std::deque<content> waiting_;
    bool is_working_ = false;
    std::uint64_t event_count_ = 0;
    std::uint64_t effect_count_ = 0;
};

} // namespace hemlocknotch::daemon
