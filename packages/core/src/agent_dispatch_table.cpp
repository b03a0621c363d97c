#include "agent_dispatch_table.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hemlocknotch {

agent_dispatch& agent_dispatch_table::add(agent_dispatch value)
{
    const request_id id = value.request.id;
    const auto [it, is_new] = dispatches_.emplace(id, std::move(value));
    assert(is_new);
    waiting_.push_back(id);
    return it->second;
}

agent_dispatch* agent_dispatch_table::find(const request_id& id)
{
    const auto it = dispatches_.find(id);
    return it == dispatches_.end() ? nullptr : &it->second;
}

agent_dispatch* agent_dispatch_table::find_call(call_id call)
{
    const auto it = calls_.find(call);
    return it == calls_.end() ? nullptr : find(it->second);
}

agent_dispatch* agent_dispatch_table::first_waiting()
{
    return waiting_.empty() ? nullptr : find(waiting_.front());
}

void agent_dispatch_table::set_running(agent_dispatch& value, instant now)
{
    assert(value.phase == dispatch_phase::waiting);
    std::erase(waiting_, value.request.id);
    value.phase = dispatch_phase::running;
    value.started = now;
    ++running_;
}

call_id agent_dispatch_table::begin_call(agent_dispatch& value, std::uint64_t offset, instant now)
{
    assert(value.phase == dispatch_phase::running);
    end_call(value);
    value.call = ++last_call_;
    value.call_offset = offset;
    value.last_received = now;
    value.last_unit = now;
    calls_.emplace(value.call, value.request.id);
    return value.call;
}

void agent_dispatch_table::end_call(agent_dispatch& value)
{
    if (value.call != 0) {
        calls_.erase(std::exchange(value.call, 0));
    }
}

void agent_dispatch_table::set_ended(agent_dispatch& value, instant now)
{
    assert(value.phase == dispatch_phase::running);
    assert(running_ > 0);
    end_call(value);
    --running_;
    value.phase = dispatch_phase::ended;
    value.ended = now;
}

void agent_dispatch_table::remove(const request_id& id)
{
    const auto it = dispatches_.find(id);
    assert(it != dispatches_.end());
    assert(it->second.call == 0);
    if (it->second.phase == dispatch_phase::running) {
        --running_;
    }
    if (it->second.phase == dispatch_phase::waiting) {
        std::erase(waiting_, id);
    }
    dispatches_.erase(it);
}

} // namespace hemlocknotch
