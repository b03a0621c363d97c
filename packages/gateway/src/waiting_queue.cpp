#include <hemlocknotch/gateway/waiting_queue.hpp>

#include <algorithm>
#include <cassert>

namespace hemlocknotch::gateway {

void waiting_queue::add(std::string_view account, const waiting_request& request, const backlog_start& start)
{
    const auto found = queues_.find(account);
    auto& it = found != queues_.end() ? found->second
                                      : queues_.emplace(std::string{account}, account_queue{}).first->second;
    if (it.requests.empty()) {
        it.backlog = start;
    }
    // The most urgent come first; requests of equal priority keep their order.
    const auto position = std::ranges::find_if(
        it.requests, [&](const waiting_request& other) { return other.priority > request.priority; });
    it.requests.insert(position, request);
    it.waiting_cost += request.cost;
    ++size_;
}

bool waiting_queue::remove(exchange_id exchange)
{
    for (auto& [name, it] : queues_) {
        const auto position = std::ranges::find(it.requests, exchange, &waiting_request::exchange);
        if (position != it.requests.end()) {
            it.waiting_cost -= position->cost;
            it.requests.erase(position);
            --size_;
            return true;
        }
    }
    return false;
}

void waiting_queue::offer(instant now, std::size_t limit,
                          const std::function<bool(const waiting_request&)>& try_send)
{
    struct candidate {
        double served = 0.0;
        std::map<std::string, account_queue, std::less<>>::iterator account;
    };

    std::vector<candidate> order;
    for (auto it = queues_.begin(); it != queues_.end(); ++it) {
        if (!it->second.requests.empty()) {
            order.push_back({meter_.rates_of(it->first, now).served, it});
        }
    }
    while (!order.empty() && limit > 0) {
        const auto least = std::ranges::min_element(order, {}, &candidate::served);
        auto& it = least->account->second;
        bool was_sent = false;
        for (auto request = it.requests.begin(); request != it.requests.end() && limit > 0; ++request) {
            --limit;
            if (try_send(*request)) {
                it.waiting_cost -= request->cost;
                it.requests.erase(request);
                --size_;
                was_sent = true;
                break;
            }
        }
        if (!was_sent || it.requests.empty()) {
            order.erase(least);
        }
        else {
            least->served = meter_.rates_of(least->account->first, now).served;
        }
    }
    std::erase_if(queues_, [](const auto& it) { return it.second.requests.empty(); });
}

std::vector<exchange_id> waiting_queue::take_expired(instant now)
{
    std::vector<exchange_id> out;
    for (auto& [name, it] : queues_) {
        std::erase_if(it.requests, [&, &queue = it](const waiting_request& request) {
            if (request.send_by > now) {
                return false;
            }
            out.push_back(request.exchange);
            queue.waiting_cost -= request.cost;
            --size_;
            return true;
        });
    }
    return out;
}

instant waiting_queue::next_expiry() const
{
    auto out = instant::max();
    for (const auto& [name, it] : queues_) {
        for (const auto& request : it.requests) {
            out = std::min(out, request.send_by);
        }
    }
    return out;
}

std::optional<backlog_start> waiting_queue::backlog_of(std::string_view account) const
{
    const auto found = queues_.find(account);
    return found == queues_.end() || found->second.requests.empty() ? std::nullopt
                                                                    : std::optional{found->second.backlog};
}

double waiting_queue::tokens_ahead(std::string_view account, double cost, instant now) const
{
    const auto seconds = std::chrono::duration<double>(share_meter::time_constant).count();
    const auto usage_of = [&](std::string_view name) { return meter_.rates_of(name, now).served * seconds; };
    const auto own = queues_.find(account);
    const auto own_waiting = own == queues_.end() ? 0.0 : own->second.waiting_cost;
    const auto finish = usage_of(account) + own_waiting + cost;
    auto out = own_waiting;
    for (const auto& [name, it] : queues_) {
        if (name != account && !it.requests.empty()) {
            out += std::clamp(finish - usage_of(name), 0.0, it.waiting_cost);
        }
    }
    return out;
}

} // namespace hemlocknotch::gateway
