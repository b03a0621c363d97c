#include <hemlocknotch/gateway/waiting_line.hpp>

#include <algorithm>
#include <cassert>

namespace hemlocknotch::gateway {

void waiting_line::add(std::string_view account, const waiting_request& request)
{
    const auto found = lines_.find(account);
    auto& it =
        found != lines_.end() ? found->second : lines_.emplace(std::string{account}, line{}).first->second;
    // The most urgent first; requests of one rank keep their order.
    const auto place = std::ranges::find_if(
        it.requests, [&](const waiting_request& other) { return other.priority > request.priority; });
    it.requests.insert(place, request);
    it.waiting_cost += request.cost;
    ++size_;
}

bool waiting_line::remove(exchange_id exchange)
{
    for (auto& [name, it] : lines_) {
        const auto place = std::ranges::find(it.requests, exchange, &waiting_request::exchange);
        if (place != it.requests.end()) {
            it.waiting_cost -= place->cost;
            it.requests.erase(place);
            --size_;
            return true;
        }
    }
    return false;
}

void waiting_line::offer(instant now, std::size_t limit,
                         const std::function<bool(const waiting_request&)>& try_send)
{
    struct candidate {
        double given = 0.0;
        std::map<std::string, line, std::less<>>::iterator account;
    };

    std::vector<candidate> order;
    for (auto it = lines_.begin(); it != lines_.end(); ++it) {
        if (!it->second.requests.empty()) {
            order.push_back({meter_.rates_of(it->first, now).given, it});
        }
    }
    while (!order.empty() && limit > 0) {
        const auto least = std::ranges::min_element(order, {}, &candidate::given);
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
            least->given = meter_.rates_of(least->account->first, now).given;
        }
    }
    std::erase_if(lines_, [](const auto& it) { return it.second.requests.empty(); });
}

std::vector<exchange_id> waiting_line::take_expired(instant now)
{
    std::vector<exchange_id> out;
    for (auto& [name, it] : lines_) {
        std::erase_if(it.requests, [&, &line = it](const waiting_request& request) {
            if (request.send_by > now) {
                return false;
            }
            out.push_back(request.exchange);
            line.waiting_cost -= request.cost;
            --size_;
            return true;
        });
    }
    return out;
}

instant waiting_line::next_expiry() const
{
    auto out = instant::max();
    for (const auto& [name, it] : lines_) {
        for (const auto& request : it.requests) {
            out = std::min(out, request.send_by);
        }
    }
    return out;
}

double waiting_line::tokens_ahead(std::string_view account, double cost, instant now) const
{
    const auto seconds = std::chrono::duration<double>(share_meter::memory).count();
    const auto usage_of = [&](std::string_view name) { return meter_.rates_of(name, now).given * seconds; };
    const auto own = lines_.find(account);
    const auto own_waiting = own == lines_.end() ? 0.0 : own->second.waiting_cost;
    const auto finish = usage_of(account) + own_waiting + cost;
    auto out = own_waiting;
    for (const auto& [name, it] : lines_) {
        if (name != account && !it.requests.empty()) {
            out += std::clamp(finish - usage_of(name), 0.0, it.waiting_cost);
        }
    }
    return out;
}

} // namespace hemlocknotch::gateway
