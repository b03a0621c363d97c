#include <hemlocknotch/gateway/stream_origins.hpp>

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace hemlocknotch::gateway {
namespace {

constexpr auto no_index = static_cast<std::size_t>(-1);

std::uint64_t key_of(std::string_view service, std::string_view request)
{
    return XXH64(request.data(), request.size(), XXH64(service.data(), service.size(), 0));
}

} // namespace

void stream_origins::set_endpoints(std::span<const endpoint_record> records, instant now)
{
    known_since_ = std::min(known_since_, now);
    for (auto& [service, versions] : versions_) {
        for (auto& [version, times] : versions) {
            times.last = std::min(times.last, now);
        }
    }
    for (const auto& it : records) {
        auto& versions = versions_[it.service];
        versions.try_emplace(it.software_version, registration_times{.first = now}).first->second.last =
            instant::max();
    }
    for (auto& [service, versions] : versions_) {
        std::erase_if(versions, [&](const auto& it) { return !is_recent(it.second, now); });
    }
}

void stream_origins::note_registry(instant as_of, instant now)
{
    if (as_of == instant{}) {
        return;
    }
    if (registry_as_of_ != instant::max() && as_of > registry_as_of_ &&
        as_of - registry_as_of_ > max_registry_age) {
        known_since_ = now;
    }
    registry_as_of_ = as_of;
}

void stream_origins::note_lifetime(duration caller_timeout)
{
    lifetime_ = std::clamp(caller_timeout, lifetime_, max_lifetime);
}

void stream_origins::note_begun(std::string_view service, std::string_view request, std::string_view version,
                                instant ends_at, instant now)
{
    add(key_of(service, request), {.name = name_of(service, version),
                                   .reports_left = repetitions,
                                   .ends_at = std::min(ends_at, now + max_lifetime),
                                   .is_own = true});
}

std::optional<std::string> stream_origins::version_of(std::string_view service, std::string_view request,
                                                      instant now) const
{
    if (!request.empty()) {
        if (const auto it = streams_.find(key_of(service, request)); it != streams_.end()) {
            return names_[it->second.name].second;
        }
    }
    return sole_version(service, now);
}

std::optional<std::string> stream_origins::sole_version(std::string_view service, instant now) const
{
    const auto found = versions_.find(service);
    if (is_stale(now) || found == versions_.end() || known_since_ > now - lifetime_) {
        return std::nullopt;
    }
    std::optional<std::string> out;
    for (const auto& [version, times] : found->second) {
        if (!is_recent(times, now)) {
            continue;
        }
        if (out) {
            return std::nullopt;
        }
        out = version;
    }
    return out;
}

std::vector<std::string> stream_origins::unsettled_versions(std::string_view service, instant now) const
{
    std::vector<std::string> out;
    if (!is_ambiguous(service, now)) {
        return out;
    }
    for (const auto& [version, times] : versions_.find(service)->second) {
        if (is_recent(times, now) && !is_settled(times, now)) {
            out.push_back(version);
        }
    }
    return out;
}

instant stream_origins::next_settled(instant now) const
{
    auto out = instant::max();
    for (const auto& [service, versions] : versions_) {
        if (versions.size() < 2) {
            continue;
        }
        for (const auto& [version, times] : versions) {
            if (!is_settled(times, now)) {
                out = std::min(out, times.first + settling_time);
            }
        }
    }
    return out;
}

stream_report stream_origins::create_outline(instant now, std::vector<std::size_t>& index_by_name)
{
    remove_ended(now);
    stream_report out;
    out.known_for =
        known_since_ > now || is_stale(now) ? duration::zero() : std::min(now - known_since_, lifetime_);
    for (const auto& [service, versions] : versions_) {
        for (const auto& [version, times] : versions) {
            if (is_recent(times, now)) {
                const auto name = name_of(service, version);
                index_by_name.resize(names_.size(), no_index);
                index_by_name[name] = out.versions.size();
                const auto age = times.last == instant::max() ? duration::zero() : now - times.last;
                out.versions.push_back(
                    {service, version, age, {}, std::min(now - times.first, max_lifetime)});
            }
        }
    }
    index_by_name.resize(names_.size(), no_index);
    return out;
}

stream_report stream_origins::create_report(instant now)
{
    std::vector<std::size_t> index_by_name;
    auto out = create_outline(now, index_by_name);
    std::size_t count = 0;
    for (auto& [key, it] : streams_) {
        const auto at = index_by_name[it.name];
        if (it.reports_left > 0 && at != no_index && count < max_reported_streams &&
            is_ambiguous(names_[it.name].first, now)) {
            --it.reports_left;
            ++count;
            out.versions[at].streams.push_back(key);
        }
    }
    return out;
}

stream_report stream_origins::create_note(instant now)
{
    std::vector<std::size_t> index_by_name;
    auto out = create_outline(now, index_by_name);
    out.known_for = duration::zero();
    std::size_t count = 0;
    for (auto& [key, it] : streams_) {
        const auto at = index_by_name[it.name];
        if (it.is_own && !it.is_noted && at != no_index && count < max_reported_streams &&
            is_ambiguous(names_[it.name].first, now)) {
            it.is_noted = true;
            ++count;
            out.versions[at].streams.push_back(key);
        }
    }
    return out;
}

void stream_origins::return_note(const stream_report& note)
{
    for (const auto& version : note.versions) {
        for (const auto key : version.streams) {
            if (const auto it = streams_.find(key); it != streams_.end()) {
                it->second.is_noted = false;
            }
        }
    }
}

void stream_origins::apply_notes(std::span<const stream_report> notes, instant now)
{
    for (const auto& it : notes) {
        apply_report(it, now);
    }
    known_since_ = std::min(known_since_, now - max_lifetime);
}

bool stream_origins::is_stale(instant now) const
{
    return registry_as_of_ != instant::max() && now - registry_as_of_ > max_registry_age;
}

bool stream_origins::is_ambiguous(std::string_view service, instant now) const
{
    const auto found = versions_.find(service);
    return found != versions_.end() && std::ranges::count_if(found->second, [&](const auto& it) {
                                           return is_recent(it.second, now);
                                       }) > 1;
}

bool stream_origins::is_ambiguous(instant now) const
{
    return std::ranges::any_of(versions_, [&](const auto& it) { return is_ambiguous(it.first, now); });
}

void stream_origins::apply_report(const stream_report& report, instant now)
{
    const auto known_for = std::clamp(report.known_for, duration::zero(), max_lifetime);
    known_since_ = std::min(known_since_, now - known_for);
    for (const auto& it : report.versions) {
        auto& versions = versions_[it.service];
        const auto seen_at = now - std::clamp(it.age, duration::zero(), max_lifetime);
        const auto first = now - std::clamp(it.seen_for, duration::zero(), max_lifetime);
        auto& times = versions.try_emplace(it.version, registration_times{seen_at, first}).first->second;
        times.last = std::max(times.last, seen_at);
        times.first = std::min(times.first, first);
        const auto name = name_of(it.service, it.version);
        for (const auto key : it.streams) {
            add(key, {.name = name, .reports_left = 0, .ends_at = now + lifetime_, .is_own = false});
        }
    }
}

void stream_origins::report_all()
{
    for (auto& [key, it] : streams_) {
        it.reports_left = it.is_own ? repetitions : 0U;
    }
}

void stream_origins::remove_ended(instant now)
{
    std::erase_if(streams_, [&](const auto& it) { return it.second.ends_at <= now; });
}

std::uint32_t stream_origins::name_of(std::string_view service, std::string_view version)
{
    const auto it = std::ranges::find_if(
        names_, [&](const auto& name) { return name.first == service && name.second == version; });
    if (it != names_.end()) {
        return static_cast<std::uint32_t>(it - names_.begin());
    }
    names_.emplace_back(service, version);
    return static_cast<std::uint32_t>(names_.size() - 1);
}

void stream_origins::add(std::uint64_t key, const origin& it)
{
    if (const auto known = streams_.find(key); known != streams_.end()) {
        // The first one to tell is right: a stream goes on at its version only.
        known->second.ends_at = std::max(known->second.ends_at, it.ends_at);
        return;
    }
    if (streams_.size() < max_streams) {
        streams_.emplace(key, it);
    }
}

} // namespace hemlocknotch::gateway
