#include "fake_endpoint.hpp"

#include <algorithm>
#include <utility>

namespace hemlocknotch::fuzz {

namespace {

constexpr std::uint32_t ok = 200;
constexpr std::uint32_t not_found = 404;

/// Returns the status for the request of caller `n`. Every fourth caller gets an error status, which entries
/// and agents must pass on like any other answer.
std::uint32_t status_of(std::size_t n)
{
    return n % 4 == 0 ? not_found : ok;
}

} // namespace

void fake_endpoint::start(const start_call_effect& call, event_callback callback)
{
    const call_id id = key_offset_ + call.call;
    calls_[id] = {.agent_call = call.call, .body = {}, .callback = std::move(callback)};
    if (call.offset > 0) {
        const auto stream = streams_.find(call.id);
        if (stream == streams_.end()) {
            calls_[id].body = "no such stream";
            timeline_.after(timeline_.random_duration(100, 3000), [this, id] { send_head(id, not_found); });
            return;
        }
        const std::string body = oracle::body_of(stream->second);
        calls_[id].body = body.substr(std::min<std::size_t>(call.offset, body.size()));
        timeline_.after(timeline_.random_duration(100, 3000), [this, id] { send_head(id, ok); });
        return;
    }
    if (is_faulty && timeline_.one_in(30)) {
        if (is_misreporting_) {
            oracle_.on_execute(std::stoul(call.target));
        }
        timeline_.after(timeline_.random_duration(100, 3000),
                        [this, id] { end(id, call_outcome::not_started); });
        return;
    }
    const std::size_t n = std::stoul(call.target);
    oracle_.on_execute(n);
    streams_[call.id] = n;
    calls_[id].body = oracle::body_of(n);
    if (is_truncating_ && !calls_[id].body.empty()) {
        calls_[id].body.pop_back();
    }
    if (is_faulty && timeline_.one_in(30)) {
        timeline_.after(timeline_.random_duration(100, 9000), [this, id] { end(id, call_outcome::broken); });
    }
    else if (!is_faulty || !timeline_.one_in(60)) {
        timeline_.after(timeline_.random_duration(100, 30000),
                        [this, id, n] { send_head(id, status_of(n)); });
    }
}

void fake_endpoint::send_head(call_id id, std::uint32_t status)
{
    const auto it = calls_.find(id);
    if (it == calls_.end()) {
        return;
    }
    it->second.callback(endpoint_head_event{it->second.agent_call, status, {}, incarnation_});
    send_next_part(id);
}

void fake_endpoint::send_next_part(call_id id)
{
    const auto it = calls_.find(id);
    if (it == calls_.end() || (is_faulty && timeline_.one_in(200))) {
        return; // The call was stopped, or the endpoint sends nothing more for it and never ends it.
    }
    if (is_faulty && timeline_.one_in(100)) {
        end(id, call_outcome::broken);
        return;
    }
    running_call& value = it->second;
    if (value.sent == value.body.size()) {
        end(id, call_outcome::complete);
        return;
    }
    const std::string bytes = value.body.substr(value.sent, timeline_.random_between(1, 60));
    value.sent += bytes.size();
    value.callback(endpoint_part_event{value.agent_call, bytes});
    timeline_.after(timeline_.random_duration(100, 12000), [this, id] { send_next_part(id); });
}

void fake_endpoint::end(call_id id, call_outcome outcome)
{
    const auto it = calls_.find(id);
    if (it == calls_.end()) {
        return;
    }
    const running_call value = std::move(it->second);
    calls_.erase(it);
    value.callback(endpoint_end_event{value.agent_call, outcome});
}

void fake_endpoint::stop(const stop_call_effect& call)
{
    calls_.erase(key_offset_ + call.call);
    if (call.is_cancel) {
        streams_.erase(call.id);
    }
}

void fake_endpoint::drop_calls()
{
    constexpr call_id numbers_per_agent = 1ULL << 32U;
    key_offset_ += numbers_per_agent;
    calls_.clear();
}

void fake_endpoint::probe(const event_callback& callback)
{
    const endpoint_health_event health{true, incarnation_, static_cast<std::uint32_t>(calls_.size())};
    timeline_.after(timeline_.random_duration(100, 9000), [callback, health] { callback(health); });
}

void fake_endpoint::restart()
{
    ++incarnation_;
    streams_.clear();
    const auto broken_calls = calls_;
    for (const auto& [id, value] : broken_calls) {
        end(id, call_outcome::broken);
    }
}

} // namespace hemlocknotch::fuzz
