#include <hemlocknotch/gateway/waiting_line.hpp>

#include <algorithm>
#include <cassert>

namespace hemlocknotch::gateway {
namespace {

/// Usage, in tokens, that is not worth telling.
constexpr double negligible_usage = 1.0;

} // namespace

void waiting_line::add(std::string_view account, const waiting_request& request)
{
    auto& it = line_of(account);
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

void waiting_line::charge(std::string_view account, double cost, instant now)
{
    line_of(account).own.add(cost, now);
}

void waiting_line::offer(instant now, std::size_t limit,
                         const std::function<bool(const waiting_request&)>& try_send)
{
    std::vector<line*> order;
    for (auto& [name, it] : lines_) {
        if (!it.requests.empty()) {
            order.push_back(&it);
        }
    }
    while (!order.empty() && limit > 0) {
        const auto least = std::ranges::min_element(order, {}, [&](const line* it) { return usage_of(*it, now); });
        auto& it = **least;
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
    }
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
    const auto own = lines_.find(account);
    const auto own_waiting = own == lines_.end() ? 0.0 : own->second.waiting_cost;
    const auto finish = recent_usage(account, now) + own_waiting + cost;
    auto out = own_waiting;
    for (const auto& [name, it] : lines_) {
        if (name != account && !it.requests.empty()) {
            out += std::clamp(finish - recent_usage(name, now), 0.0, it.waiting_cost);
        }
    }
    return out;
}

double waiting_line::recent_usage(std::string_view account, instant now) const
{
    const auto it = lines_.find(account);
    return it == lines_.end() ? 0.0 : usage_of(it->second, now);
}

void waiting_line::set_told_usage(std::string_view gateway, std::string_view account, double tokens, instant now)
{
    auto& told = line_of(account).told;
    auto it = told.find(gateway);
    if (it == told.end()) {
        it = told.emplace(std::string{gateway}, decaying_sum{usage_memory}).first;
    }
    it->second.set(tokens, now);
}

void waiting_line::for_each_usage(
    instant now, const std::function<void(std::string_view account, double tokens)>& take) const
{
    for (const auto& [name, it] : lines_) {
        if (const auto tokens = it.own.value(now); tokens >= negligible_usage) {
            take(name, tokens);
        }
    }
}

waiting_line::line& waiting_line::line_of(std::string_view account)
{
    const auto it = lines_.find(account);
    return it != lines_.end() ? it->second : lines_.emplace(std::string{account}, line{}).first->second;
}

double waiting_line::usage_of(const line& it, instant now)
{
    auto out = it.own.value(now);
    for (const auto& [gateway, told] : it.told) {
        out += told.value(now);
    }
    return out;
}

} // namespace hemlocknotch::gateway
