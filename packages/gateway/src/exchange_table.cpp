#include "exchange_table.hpp"

#include <algorithm>
#include <cassert>

namespace hemlocknotch::gateway {

exchange& exchange_table::add(std::unique_ptr<exchange> it)
{
    const auto id = it->id;
    const auto [position, is_new] = exchanges_.emplace(id, std::move(it));
    assert(is_new);
    return *position->second;
}

exchange* exchange_table::find(exchange_id id)
{
    const auto it = exchanges_.find(id);
    return it == exchanges_.end() ? nullptr : it->second.get();
}

std::vector<exchange_id> exchange_table::find_all(const std::function<bool(exchange&)>& matches) const
{
    std::vector<exchange_id> out;
    for (const auto& [id, it] : exchanges_) {
        if (matches(*it)) {
            out.push_back(id);
        }
    }
    std::ranges::sort(out);
    return out;
}

void exchange_table::add_deadline(const exchange& it, instant at)
{
    deadlines_.emplace(at, it.id);
}

std::vector<exchange_id> exchange_table::take_due(instant now)
{
    std::vector<exchange_id> out;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        out.push_back(deadlines_.begin()->second);
        deadlines_.erase(deadlines_.begin());
    }
    return out;
}

instant exchange_table::next_deadline() const
{
    return deadlines_.empty() ? instant::max() : deadlines_.begin()->first;
}

void exchange_table::erase(exchange_id id)
{
    const auto found = exchanges_.find(id);
    assert(found != exchanges_.end());
    const auto& it = *found->second;
    assert(it.call == 0);
    deadlines_.erase({it.ends_at, id});
    deadlines_.erase({it.attempt_timeout_at, id});
    exchanges_.erase(found);
}

} // namespace hemlocknotch::gateway
