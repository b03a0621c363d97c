#pragma once

#include "event_queue.hpp"
#include "prompt_memory.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace hemlocknotch::gateway::model {

/// How fast one engine is and how much it holds.
struct engine_traits {
    /// Requests executed at once, and waiting besides.
    unsigned slots = 64;
    unsigned queue = 192;
    /// Time of a step that gives each running request one token: this, and so much for each of them.
    double step_ms = 2.6;
    double step_ms_per_request = 0.12;
    /// Prompt tokens read in a millisecond, and most of them in one step.
    double prompt_tokens_per_ms = 48.2;
    double chunk = 2048.0;
    /// Tokens in one event of a stream.
    unsigned event_tokens = 8;
    double memory_tokens = 402'395.0;
};

/// What an engine executes.
struct engine_job {
    std::uint64_t id = 0;
    std::vector<prompt_part> prompt;
    unsigned output_tokens = 1;
};

/// Who hears of an engine's work. Calls come from within the event queue.
class engine_listener {
public:
    virtual ~engine_listener() = default;

    virtual void on_event(std::uint64_t job, bool is_last) = 0;
    /// The job was not executed; the engine is full.
    virtual void on_rejected(std::uint64_t job) = 0;
    /// `part` was read at the engine, which did not keep it.
    virtual void on_part_read(const prompt_part& part) = 0;
};

/// A model engine: admits in order of arrival, reads prompts in chunks between the tokens of running
/// requests, keeps parts of prompts, and puts the newest request back where memory runs out. One thread.
class engine_model {
public:
    /// `events` and `listener` must outlive the engine.
    engine_model(event_queue& events, const engine_traits& traits, engine_listener& listener);

    void submit(engine_job job);
    /// Stops work on `job`; ignored where it is not here.
    void cancel(std::uint64_t job);

    /// Returns how long `prompt`, sent now, would take here to its first token: what is ahead and what is not
    /// kept, read between the tokens of what runs.
    [[nodiscard]] duration time_to_first_token(std::span<const prompt_part> prompt) const;

    [[nodiscard]] std::size_t open_jobs() const { return waiting_.size() + running_.size(); }

    /// Returns the time in which at least one request ran.
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
    /// The request admitted last waits again, and will be read from its start.
    void put_newest_back();
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
