#include <hemlocknotch/standins/soak_record.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <chrono>
#include <cstddef>

namespace hemlocknotch::standins {
namespace {

constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_timeout = 408;
constexpr int status_misdirected = 421;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
constexpr int status_bad_gateway = 502;
constexpr int status_gateway_timeout = 504;
/// Statuses with which a gateway answers by itself.
constexpr std::array<int, 9> own_statuses{status_ok,          status_unauthorized, status_not_found,
                                          status_timeout,     status_misdirected,  status_too_many,
                                          status_bad_gateway, status_unavailable,  status_gateway_timeout};
constexpr unsigned max_attempts = 2;
/// Bound of the platform on requests that crash endpoints: so many that are sent later than `crash_bound`
/// after the third crash.
constexpr std::size_t counted_crashes = 3;
constexpr unsigned max_late_crashes = 3;
constexpr duration crash_bound = std::chrono::seconds{3};
/// Bound of the platform on requests for an endpoint that is known to leave.
constexpr duration drain_bound = std::chrono::seconds{2};

bool states_not_run(int status)
{
    return status == status_unavailable || status == status_too_many || status == status_timeout ||
           status == status_misdirected;
}

} // namespace

void soak_record::note_configuration(bool has_second_key, instant now)
{
    configurations_.push_back({has_second_key, now});
}

std::string soak_record::add(const soak_request& request)
{
    auto id = "r" + std::to_string(requests_.size() + 1);
    requests_.emplace(id, request);
    return id;
}

bool soak_record::do_all_have_key(bool has_second_key, instant at) const
{
    assert(!configurations_.empty());
    for (auto it = configurations_.rbegin(); it != configurations_.rend(); ++it) {
        if (it->has_second_key != has_second_key) {
            return false;
        }
        if (it->acknowledged_at + bound_ < at) {
            return true;
        }
    }
    return true;
}

void soak_record::check_answer(const std::string& id, int status, const std::string& body,
                               const std::string& expected_body)
{
    auto& it = requests_.at(id);
    ++answers_[status];
    it.is_answered_not_run = states_not_run(status);
    if (status == status_ok && body != expected_body) {
        add_violation(id + " at " + it.gateway + ": a success with the body '" + body + "'");
    }
    check_failure(id, it.gateway, status, body);
    check_configuration(id, it, status);
}

void soak_record::note_failure(const std::string& id, int status, const std::string& body)
{
    failures_.emplace(id, std::pair{status, body});
}

void soak_record::check_failure(const std::string& id, const std::string& gateway, int status,
                                const std::string& body)
{
    if (std::ranges::find(own_statuses, status) != own_statuses.end()) {
        return;
    }
    const auto [begin, end] = failures_.equal_range(id);
    if (std::none_of(begin, end, [&](const auto& it) { return it.second == std::pair{status, body}; })) {
        add_violation(id + " at " + gateway + ": " + std::to_string(status) +
                      ", which no endpoint gave, with the body '" + body + "'");
    }
}

void soak_record::check_partial_body(const std::string& id, const std::string& body,
                                     const std::string& expected_body)
{
    if (!expected_body.starts_with(body)) {
        add_violation(id + " at " + requests_.at(id).gateway + ": a success that began with '" + body + "'");
    }
}

void soak_record::check_configuration(const std::string& id, const soak_request& request, int status)
{
    if (status == status_not_found) {
        add_violation(id + " at " + request.gateway + ": 404 for a route of every configuration");
    }
    if (status == status_unauthorized && !request.has_second_key) {
        add_violation(id + " at " + request.gateway + ": 401 for a key of every configuration");
    }
    if (!request.has_second_key || !request.is_gateway_in_touch) {
        return;
    }
    if (status == status_unauthorized && do_all_have_key(true, request.sent_at)) {
        add_violation(id + " at " + request.gateway + ": 401 for a key that is in force");
    }
    if (status == status_ok && do_all_have_key(false, request.sent_at)) {
        add_violation(id + " at " + request.gateway + ": served with a key that was removed");
    }
}

void soak_record::note_crash(const std::string& id, instant now)
{
    crashes_.push_back(now);
    const auto& it = requests_.at(id);
    const auto is_late =
        crashes_.size() > counted_crashes && it.sent_at > crashes_[counted_crashes - 1] + crash_bound;
    if (is_late && it.is_gateway_undisturbed && ++late_crashes_ > max_late_crashes) {
        add_violation(id + " at " + it.gateway + ": crashed an endpoint, as " +
                      std::to_string(crashes_.size() - 1) + " before it");
    }
}

void soak_record::note_leaving(const std::string& gateway, const std::string& endpoint, instant now)
{
    leaving_[gateway].try_emplace(endpoint, now);
}

void soak_record::forget_leaving(const std::string& gateway)
{
    leaving_.erase(gateway);
}

void soak_record::check_arrival(const std::string& id, const std::string& endpoint)
{
    const auto request = requests_.find(id);
    if (request == requests_.end()) {
        return;
    }
    const auto& known = leaving_[request->second.gateway];
    const auto found = known.find(endpoint);
    if (found != known.end() && request->second.sent_at > found->second + drain_bound) {
        add_violation(id + " at " + request->second.gateway + ": sent to " + endpoint + ", which leaves");
    }
}

void soak_record::check_executions(const std::map<std::string, unsigned>& executions)
{
    for (const auto& [id, n] : executions) {
        const auto found = requests_.find(id);
        if (found == requests_.end()) {
            add_violation(id + ": executed and never sent");
            continue;
        }
        const auto& it = found->second;
        const auto is_repeatable = it.kind != soak_request_kind::unsafe;
        if (it.is_answered_not_run && !is_repeatable) {
            add_violation(id + " at " + it.gateway + ": executed, and the answer states that it was not");
        }
        if (n > (is_repeatable ? max_attempts : 1U)) {
            add_violation(id + " at " + it.gateway + ": executed " + std::to_string(n) + " times");
        }
    }
}

} // namespace hemlocknotch::standins
