#include "engine_model.hpp"

#include <algorithm>
#include <utility>

namespace hemlocknotch::gateway::model {

engine_model::engine_model(event_queue& events, const engine_traits& traits, engine_listener& listener)
    : events_{events}, traits_{traits}, listener_{listener}, memory_{traits.memory_tokens}
{
}

void engine_model::submit(engine_job job)
{
    double tokens = static_cast<double>(job.output_tokens);
    for (const auto& part : job.prompt) {
        tokens += static_cast<double>(part.tokens);
    }
    if (waiting_.size() >= traits_.queue || tokens > memory_.capacity()) {
        return listener_.on_rejected(job.id);
    }
    waiting_.push_back({std::move(job), 0.0, 0});
    start_step();
}

void engine_model::cancel(std::uint64_t job)
{
    std::erase_if(waiting_, [&](const open_job& it) { return it.job.id == job; });
    std::erase_if(running_, [&](const std::unique_ptr<open_job>& it) {
        if (it->job.id != job) {
            return false;
        }
        release(*it);
        return true;
    });
}

duration engine_model::time_to_first_token(std::span<const prompt_part> prompt) const
{
    double unread = -memory_.cached_tokens(prompt);
    for (const auto& part : prompt) {
        unread += static_cast<double>(part.tokens);
    }
    for (const auto& it : running_) {
        unread += it->unread;
    }
    for (const auto& it : waiting_) {
        for (const auto& part : it.job.prompt) {
            unread += static_cast<double>(part.tokens);
        }
        unread -= memory_.cached_tokens(it.job.prompt);
    }
    const auto whole_steps = static_cast<int>(unread / traits_.chunk);
    const auto rest = unread - static_cast<double>(whole_steps) * traits_.chunk;
    return step_time(traits_.chunk) * whole_steps + step_time(rest) +
           step_time(0.0) * static_cast<int>(traits_.event_tokens);
}

void engine_model::admit()
{
    while (!waiting_.empty() && running_.size() < traits_.slots) {
        auto& next = waiting_.front();
        auto kept = memory_.cached_tokens(next.job.prompt);
        if (!memory_.pin(next.job.prompt)) {
            return;
        }
        // A request that was put back reads again what it had generated.
        auto unread = static_cast<double>(next.generated) - kept;
        if (!memory_.grow(static_cast<double>(next.generated))) {
            memory_.unpin(next.job.prompt);
            return;
        }
        for (const auto& part : next.job.prompt) {
            const auto tokens = static_cast<double>(part.tokens);
            unread += tokens;
            if (kept < tokens) {
                listener_.on_part_read(part);
            }
            kept = std::max(0.0, kept - tokens);
        }
        next.unread = unread;
        running_.push_back(std::make_unique<open_job>(std::move(next)));
        waiting_.pop_front();
    }
}

void engine_model::start_step()
{
    if (is_stepping_) {
        return;
    }
    admit();
    if (running_.empty()) {
        return;
    }
    is_stepping_ = true;
    auto left = traits_.chunk;
    for (const auto& it : running_) {
        const auto n = std::min(left, it->unread);
        it->unread -= n;
        left -= n;
    }
    const auto time = step_time(traits_.chunk - left);
    busy_ += time;
    events_.add_in(time, [this] {
        is_stepping_ = false;
        finish_step();
        start_step();
    });
}

void engine_model::finish_step()
{
    std::vector<std::pair<std::uint64_t, bool>> told;
    for (std::size_t n = 0; n < running_.size(); ++n) {
        auto& it = *running_[n];
        if (it.unread > 0.0) {
            continue;
        }
        while (n < running_.size() && !memory_.grow(1.0)) {
            put_newest_back();
        }
        if (n == running_.size()) {
            break;
        }
        ++it.generated;
        const auto is_last = it.generated >= it.job.output_tokens;
        if (is_last || it.generated % traits_.event_tokens == 0) {
            told.emplace_back(it.job.id, is_last);
        }
    }
    std::erase_if(running_, [&](const std::unique_ptr<open_job>& it) {
        if (it->unread > 0.0 || it->generated < it->job.output_tokens) {
            return false;
        }
        release(*it);
        return true;
    });
    for (const auto& [job, is_last] : told) {
        listener_.on_event(job, is_last);
    }
}

void engine_model::put_newest_back()
{
    release(*running_.back());
    waiting_.push_front(std::move(*running_.back()));
    running_.pop_back();
}

void engine_model::release(const open_job& it)
{
    memory_.shrink(static_cast<double>(it.generated));
    memory_.unpin(it.job.prompt);
}

duration engine_model::step_time(double prompt_tokens) const
{
    return from_ms(traits_.step_ms + traits_.step_ms_per_request * static_cast<double>(running_.size()) +
                   prompt_tokens / traits_.prompt_tokens_per_ms);
}

} // namespace hemlocknotch::gateway::model
