#include "gateway_soak_caller.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>

namespace hemlocknotch::standins {
namespace {

using std::chrono::milliseconds;

/// One of so many steps begins a series of resets.
constexpr int steps_per_series = 60;
/// Longest time of a series, and longest time between two resets of it.
constexpr int max_series_ms = 4000;
constexpr int max_pause_ms = 900;
/// While a series lasts, endpoints of models fail each second request.
constexpr std::size_t requests_per_failure = 2;
/// One of so many steps registers an endpoint that answers nothing, for this time at the most.
constexpr int steps_per_mute_endpoint = 80;
constexpr int max_mute_ms = 3000;
/// One of so many requests is sent slowly, over this time at the most.
constexpr int requests_per_slow_one = 20;
constexpr int max_sending_ms = 6000;
/// Bytes of a slow request that are sent late.
constexpr std::size_t late_bytes = 2;

} // namespace

int gateway_soak::draw_reset(int n)
{
    return std::uniform_int_distribution<int>{0, n - 1}(reset_random_);
}

void gateway_soak::add_resets()
{
    if (draw_reset(steps_per_series) != 0) {
        return;
    }
    ++fault_count_;
    const auto ends_at = now() + milliseconds{1 + draw_reset(max_series_ms)};
    for (auto at = now(); at < ends_at; at += milliseconds{1 + draw_reset(max_pause_ms)}) {
        undo_at(at, [this] { reset_connections(); });
    }
    for (const auto& owned : endpoints_) {
        auto& it = owned->endpoint();
        if (it.instance().starts_with('m')) {
            it.faults.fails_each = requests_per_failure;
            undo_at(ends_at, [&it] { it.faults.fails_each = 0; });
        }
    }
}

void gateway_soak::reset_connections()
{
    const auto is_chosen = [this] { return draw_reset(2) == 0; };
    for (const auto& it : endpoints_) {
        it->link().reset_open(is_chosen);
    }
    auto& gateway = *gateways_[static_cast<std::size_t>(draw_reset(options_.gateways))];
    gateway.caller_link().reset_open(is_chosen);
    gateway.store_link().reset_open(is_chosen);
}

void gateway_soak::add_mute_endpoint()
{
    if (draw_reset(steps_per_mute_endpoint) != 0) {
        return;
    }
    ++fault_count_;
    auto registration = nlohmann::json::parse(endpoints_.front()->endpoint().registration("plain"));
    registration["address"] = mute_.address().to_string();
    const auto key = "servers/u" + std::to_string(++mute_registrations_);
    store_.put(key, registration.dump());
    undo_at(now() + milliseconds{1 + draw_reset(max_mute_ms)}, [this, key] { store_.remove(key); });
}

void gateway_soak::send_bytes(caller_state& it, const std::string& request, duration timeout)
{
    if (draw_reset(requests_per_slow_one) != 0 || stage_ != stage::faulty) {
        return it.caller.send(request, timeout);
    }
    const auto size = request.size() - late_bytes;
    it.rest = request.substr(size);
    it.caller.send(request.substr(0, size), timeout + milliseconds{max_sending_ms});
    it.rest_timer.start(milliseconds{1 + draw_reset(max_sending_ms)});
}

void gateway_soak::check_cut(const caller_state& it, const kept_connection_answer& answer)
{
    const auto is_cut = answer.status == 0 && answer.was_closed && answer.partial_body.empty();
    if (!is_cut || !it.is_direct || !it.gateway.is_not_killed_since(it.sent_at)) {
        return;
    }
    const auto has_arrived = [&](const auto& owned) { return owned->endpoint().executions.contains(it.id); };
    if (mute_.executions.contains(it.id) || std::ranges::any_of(endpoints_, has_arrived)) {
        record_.add_violation(it.id + " at " + it.gateway.name() + ": executed, and cut without an answer");
    }
}

} // namespace hemlocknotch::standins
