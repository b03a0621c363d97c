#include "endpoint_probe.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

constexpr duration answer_timeout = std::chrono::seconds{2};

} // namespace

endpoint_health_event read_health(const std::optional<std::string>& body)
{
    endpoint_health_event out;
    if (!body) {
        return out;
    }
    const auto json = nlohmann::json::parse(*body, nullptr, false);
    if (!json.is_object() || !json.contains("incarnation") || !json["incarnation"].is_number_unsigned()) {
        return out;
    }
    out.is_reached = true;
    out.incarnation = json["incarnation"].get<std::uint64_t>();
    if (json.contains("running") && json["running"].is_number_unsigned()) {
        out.running = json["running"].get<std::uint32_t>();
    }
    return out;
}

std::optional<cache_events_page> read_cache_events(std::string_view body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("next") || !json["next"].is_number_unsigned() ||
        !json.contains("events") || !json["events"].is_array()) {
        return std::nullopt;
    }
    cache_events_page out;
    out.next = json["next"].get<std::uint64_t>();
    for (const auto& event : json["events"]) {
        if (!event.is_object() || !event.contains("prefix") || !event["prefix"].is_number_unsigned()) {
            return std::nullopt;
        }
        const auto prefix = event["prefix"].get<std::uint64_t>();
        const auto kind = event.value("kind", nlohmann::json{});
        if (kind == "added") {
            out.events.added.push_back(prefix);
        }
        else if (kind == "removed") {
            out.events.removed.push_back(prefix);
        }
        else {
            return std::nullopt;
        }
    }
    return out;
}

endpoint_probe::endpoint_probe(event_base* base, const endpoint_address& endpoint, duration cache_interval,
                               endpoint_sink& sink)
    : sink_{sink},
      cache_interval_{cache_interval},
      health_{base, endpoint, answer_timeout},
      cache_{base, endpoint, answer_timeout},
      cache_timer_{base, [this] { request_cache_events(); }}
{
    if (cache_interval_ > duration::zero()) {
        cache_timer_.start(cache_interval_);
    }
}

void endpoint_probe::request_health()
{
    health_.fetch("/health", [this](const auto& body) { sink_.on_health(read_health(body)); });
}

void endpoint_probe::request_cache_events()
{
    cache_timer_.start(cache_interval_);
    cache_.fetch("/v1/cache-events?after=" + std::to_string(next_cache_event_),
                 [this](const auto& body) { process_cache_events(body); });
}

void endpoint_probe::process_cache_events(const std::optional<std::string>& body)
{
    auto page = body ? read_cache_events(*body) : std::nullopt;
    if (!page) {
        return;
    }
    // Set to the engine's value even if that is lower: a restarted engine counts from the beginning again.
    next_cache_event_ = page->next;
    if (!page->events.added.empty() || !page->events.removed.empty()) {
        sink_.on_cache(std::move(page->events));
    }
}

} // namespace hemlocknotch::daemon
