#pragma once

#include "entropy_source.hpp"
#include "process_clock.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>
#include <variant>

namespace hemlocknotch::daemon {

/// Passes events to a reducer one at a time and executes its effects in order. An event that is posted while
/// an effect executes is processed after all effects of the current event. Used by one thread.
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

    /// Processes an event, now or after the event that is being processed.
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
            process_event(event);
        }
        is_working_ = false;
    }

    /// Returns the number of events processed so far, including the current one.
    [[nodiscard]] std::uint64_t event_count() const { return event_count_; }

    /// Returns the number of effects that the reducer has returned so far.
    [[nodiscard]] std::uint64_t effect_count() const { return effect_count_; }

private:
    void process_event(const Event& event)
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
