#include "arrival_oracle.hpp"

#include "crash_oracle.hpp"
#include "invariant_violation.hpp"

#include <algorithm>
#include <chrono>

namespace hemlocknotch::gateway {
namespace {

/// Requests per second that a cold endpoint sustains, as the platform states it.
constexpr double cold_bound = arrival_oracle::cold_rate * 1.5 + 5.0;
/// Time in which the requests that reach an endpoint with a stated limit are counted.
constexpr duration limit_window = std::chrono::seconds{4};

/// Adds an arrival at `now` and returns how many there were in the last `window`.
double count_arrival(std::deque<instant>& arrivals, duration window, instant now)
{
    arrivals.push_back(now);
    while (now - arrivals.front() > window) {
        arrivals.pop_front();
    }
    return static_cast<double>(arrivals.size());
}

} // namespace

void arrival_oracle::set_cold(const std::string& instance, instant until)
{
    cold_[instance] = {until, {}};
}

void arrival_oracle::reset(const std::string& instance)
{
    cold_.erase(instance);
    limits_.erase(instance);
}

void arrival_oracle::set_limit(const std::string& instance, std::optional<double> requests_per_second)
{
    limits_.erase(instance);
    if (requests_per_second) {
        limits_[instance].requests_per_second = *requests_per_second;
    }
}

std::optional<double> arrival_oracle::state_limit(const std::string& instance, instant now)
{
    const auto found = limits_.find(instance);
    if (found == limits_.end()) {
        return std::nullopt;
    }
    found->second.stated_at = std::min(found->second.stated_at, now);
    return found->second.requests_per_second;
}

void arrival_oracle::note_arrival(const std::string& instance, instant now)
{
    check_limit(instance, now);
    check_cold(instance, now);
}

void arrival_oracle::check_limit(const std::string& instance, instant now)
{
    const auto found = limits_.find(instance);
    if (found == limits_.end() || found->second.stated_at == instant::max() ||
        now < found->second.stated_at + crash_oracle::contact_bound) {
        return;
    }
    auto& it = found->second;
    const auto seconds = std::chrono::duration<double>(limit_window).count();
    if (count_arrival(it.arrivals, limit_window, now) > 1.5 * seconds * it.requests_per_second + 5.0) {
        throw invariant_violation{"an endpoint got more requests than it states to take"};
    }
}

void arrival_oracle::check_cold(const std::string& instance, instant now)
{
    const auto found = cold_.find(instance);
    if (found != cold_.end() && found->second.until > now &&
        count_arrival(found->second.arrivals, std::chrono::seconds{1}, now) > cold_bound) {
        throw invariant_violation{"a cold endpoint got more requests than it sustains"};
    }
}

} // namespace hemlocknotch::gateway
