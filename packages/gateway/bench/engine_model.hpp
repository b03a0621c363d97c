#pragma once

#include "event_queue.hpp"
#include "prompt_memory.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace hemlocknotch::gateway::model {

/// Speed and capacity of one engine.
struct engine_traits {
    /// Requests executed at once, and the length of the queue of waiting ones.
    unsigned slots = 64;
    unsigned queue = 192;
    /// Duration of a step, which generates one token for each running request: a constant and an amount per
    /// running request.
    double step_ms = 2.6;
    double step_ms_per_request = 0.12;
    /// Prompt tokens read per millisecond, and the maximum per step.
    double prompt_tokens_per_ms = 48.2;
    double chunk = 2048.0;
    /// Tokens in one event of a stream.
    unsigned event_tokens = 8;
    double memory_tokens = 402'395.0;
};

/// A request that an engine executes.
struct engine_job {
    std::uint64_t id = 0;
    std::vector<prompt_part> prompt;
    unsigned output_tokens = 1;
};

/// Receives the events of an engine. Called from within the event queue.
class engine_listener {
public:
    virtual ~engine_listener() = default;

    virtual void on_event(std::uint64_t job, bool is_last) = 0;
    /// The job was not executed because the engine is full.
    virtual void on_rejected(std::uint64_t job) = 0;
    /// The engine read `part`, which was not in its cache.
    virtual void on_part_read(const prompt_part& part) = 0;
};

/// A model of an inference engine. It admits requests in order of arrival, reads prompts in chunks between
/// the tokens of running requests, caches prompt parts, and preempts the newest request when memory runs out.
/// Used by one thread.
class engine_model {
public:
    /// `events` and `listener` must outlive the engine.
    engine_model(event_queue& events, const engine_traits& traits, engine_listener& listener);

    void submit(engine_job job);
    /// Stops work on `job`; ignored if the engine does not have it.
    void cancel(std::uint64_t job);

    /// Returns the time to the first token of `prompt` if it were submitted now: the pending work and the
    /// parts that are not cached, read between the tokens of the running requests.
    [[nodiscard]] duration time_to_first_token(std::span<const prompt_part> prompt) const;

    [[nodiscard]] std::size_t open_jobs() const { return waiting_.size() + running_.size(); }

    /// Returns the total time in which at least one request was running.
    [[nodiscard]] duration busy_time() const { return busy_; }

private:
    struct open_job {
        engine_job job;
        /// Prompt tokens still to be read.
        double unread = 0.0;
        unsigned generated = 0;
    };

    void start_step();
    void finish_step();
    void admit();
    /// Puts the request that was admitted last back at the front of the queue. Its prompt will be read from
    /// the start again.
    void preempt_newest();
    void release(const open_job& it);
    [[nodiscard]] duration step_time(double prompt_tokens) const;

    event_queue& events_;
    engine_traits traits_;
    engine_listener& listener_;
    prompt_memory memory_;
    std::deque<open_job> waiting_;
    /// In order of admission.
    std::vector<std::unique_ptr<open_job>> running_;
    bool is_stepping_ = false;
    duration busy_{};
};

} // namespace hemlocknotch::gateway::model
