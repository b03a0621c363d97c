#include <hemlocknotch/gateway/endpoint_table.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <functional>

namespace hemlocknotch::gateway {
namespace {

constexpr unsigned max_doublings = 6;
/// Maximum number of endpoints recorded as leaving; bounds memory.
constexpr std::size_t max_leaving = 4096;
/// Time within which an endpoint that leaves registers so, and gateways read it: endpoints register each
/// second, and a read may be another second old.
constexpr duration registration_time = std::chrono::milliseconds{2200};
/// Maximum number of cached prompt parts recorded per endpoint; bounds memory.
constexpr std::size_t max_cached_parts = 4096;
/// Time without use after which a part is taken to be evicted: about the time in which an engine under load
/// fills its memory with other prompts.
constexpr duration cached_part_lifetime = std::chrono::seconds{15};

} // namespace

double endpoint_state::cached_tokens(std::span<const prompt_part> shared_parts, instant now) const
{
    double out = 0.0;
    for (const auto& part : shared_parts) {
        const auto it = cached_parts.find(part.id);
        if (it == cached_parts.end() || now - it->second >= cached_part_lifetime) {
            break;
        }
        out += static_cast<double>(part.tokens);
    }
    return out;
}

void endpoint_state::note_sent(std::span<const prompt_part> shared_parts, instant now)
{
    if (cached_parts.size() + shared_parts.size() > max_cached_parts) {
        cached_parts.clear();
    }
    for (const auto& part : shared_parts) {
        cached_parts.insert_or_assign(part.id, now);
    }
}

void endpoint_state::add_peer(const peer_load& load)
{
    peers_total.pending_tokens += load.pending_tokens;
    peers_total.running += load.running;
    peers_total.tokens_per_second += load.tokens_per_second;
    ++reporting_peers;
}

void endpoint_state::remove_peer(const peer_load& load)
{
    assert(reporting_peers > 0);
    --reporting_peers;
    if (reporting_peers == 0) {
        // Discards the rounding errors of the sums.
        peers_total = {};
        return;
    }
    peers_total.pending_tokens -= load.pending_tokens;
    peers_total.running -= load.running;
    peers_total.tokens_per_second -= load.tokens_per_second;
}

void endpoint_table::set_endpoints(std::span<const endpoint_record> records,
                                   const routing_configuration& configuration, std::size_t gateways,
                                   instant now)
{
    std::map<std::string, std::unique_ptr<endpoint_state>, std::less<>> next;
    for (const auto& record : records) {
        const auto known = endpoints_.find(record.instance);
        const auto is_same = known != endpoints_.end() &&
                             known->second->record.started_at_ms == record.started_at_ms &&
                             known->second->record.address == record.address &&
                             known->second->record.software_version == record.software_version;
        auto state = is_same ? std::move(known->second) : std::make_unique<endpoint_state>(record);
        const auto has_same_cold_time = is_same && state->record.cold_remaining == record.cold_remaining;
        const auto was_cold = state->cold_until > now;
        if (!has_same_cold_time && record.cold_remaining > duration::zero()) {
            state->cold_until = std::max(state->cold_until, now + record.cold_remaining);
        }
        state->record = record;
        if (const auto it = leaving_.find(record.instance); it != leaving_.end()) {
            if (it->second == record.started_at_ms) {
                state->leaving_since = std::min(state->leaving_since, now);
            }
            else if (!is_same) {
                // The answer may have been that of this start, which the registry did not show yet.
                note_pause(*state, registration_time, now);
            }
        }
        const auto* service = configuration.find_service(record.service);
        const auto rate = service == nullptr ? 0.0 : service->cold_requests_per_second;
        if (rate > 0.0 && !state->cold_limiter) {
            state->cold_limiter.emplace(rate * cold_rate_share, gateways, phase_of(record.instance));
        }
        if (state->cold_limiter && !was_cold && state->cold_until > now) {
            state->cold_limiter->restart(now);
        }
        next.emplace(record.instance, std::move(state));
    }
    std::set<const endpoint_state*> removed;
    for (const auto& [name, it] : endpoints_) {
        if (it) {
            removed.insert(it.get());
        }
    }
    for (auto& [gateway, loads] : peer_loads_) {
        std::erase_if(loads, [&](const attributed_load& it) { return removed.contains(it.endpoint); });
    }
    endpoints_ = std::move(next);
    ++generation_;
    by_service_.clear();
    for (const auto& [name, it] : endpoints_) {
        by_service_[it->record.service].push_back(it.get());
    }
}

void endpoint_table::set_out_of_service(std::set<std::string, std::less<>> failure_domains)
{
    out_of_service_ = std::move(failure_domains);
}

void endpoint_table::set_gateways(std::size_t gateways)
{
    gateways_ = gateways;
    for (auto& [name, it] : endpoints_) {
        if (it->cold_limiter) {
            it->cold_limiter->set_gateways(gateways);
        }
        if (it->limiter) {
            update_limit_part(*it);
        }
    }
}

void endpoint_table::set_others(const std::set<std::string, std::less<>>& names)
{
    roster_.set_others(names);
    for (auto& [name, it] : endpoints_) {
        if (it->limiter) {
            update_limit_part(*it);
        }
    }
}

bool endpoint_table::note_leaving(endpoint_state& endpoint, instant now)
{
    if (endpoint.leaving_since != instant::max()) {
        return false;
    }
    if (leaving_.size() >= max_leaving) {
        leaving_.clear();
    }
    endpoint.leaving_since = now;
    leaving_.insert_or_assign(endpoint.record.instance, endpoint.record.started_at_ms);
    return true;
}

bool endpoint_table::note_pause(endpoint_state& endpoint, duration length, instant now)
{
    const auto until = now + std::min(length, max_pause);
    if (until <= std::max(endpoint.paused_until, now)) {
        return false;
    }
    endpoint.paused_until = until;
    endpoint.is_resuming = true;
    return true;
}

instant endpoint_table::end_of_pauses(std::string_view service) const
{
    auto out = instant::max();
    if (const auto found = by_service_.find(service); found != by_service_.end()) {
        for (const auto* it : found->second) {
            if (!is_departing(*it) && !out_of_service_.contains(it->record.failure_domain)) {
                out = std::min(out, it->paused_until);
            }
        }
    }
    return out;
}

endpoint_state* endpoint_table::find_other_at(const endpoint_address& address, std::string_view instance)
{
    for (const auto& [name, it] : endpoints_) {
        if (it->record.address == address && name != instance) {
            return it.get();
        }
    }
    return nullptr;
}

bool endpoint_table::note_limit(endpoint_state& endpoint, double requests_per_second, instant observed_at,
                                bool is_own, instant now)
{
    auto& limit = endpoint.limit;
    const auto has_history = limit.observed_at != instant{};
    if ((!has_history && requests_per_second <= 0.0) || (has_history && observed_at < limit.observed_at)) {
        return false;
    }
    const auto before = limit.requests_per_second;
    limit = {requests_per_second > 0.0 ? std::max(requests_per_second, min_limit) : 0.0, observed_at, is_own};
    if (limit.requests_per_second == before) {
        return false;
    }
    if (limit.requests_per_second <= 0.0) {
        endpoint.limiter.reset();
        return true;
    }
    if (!endpoint.limiter) {
        endpoint.limiter.emplace(limit.requests_per_second, gateways_, phase_of(endpoint.record.instance));
        update_limit_part(endpoint);
        endpoint.limiter->restart(now);
    }
    else {
        update_limit_part(endpoint);
    }
    return true;
}

void endpoint_table::update_limit_part(endpoint_state& endpoint) const
{
    const auto limit = endpoint.limit.requests_per_second;
    const auto gateways = std::max(gateways_, roster_.size());
    const auto sharers =
        std::clamp(static_cast<std::size_t>(std::min(limit / min_limit_part, static_cast<double>(gateways))),
                   std::size_t{1}, gateways);
    endpoint.is_limit_sharer = sharers == gateways || roster_.rank_for(endpoint.record.instance) < sharers;
    endpoint.limiter->set_rate(limit);
    endpoint.limiter->set_gateways(endpoint.is_limit_sharer ? sharers : gateways);
}

bool endpoint_table::is_within_limit(const endpoint_state& endpoint, instant now)
{
    if (!endpoint.limiter) {
        return true;
    }
    const auto may_send = endpoint.is_limit_sharer || now - endpoint.limit.observed_at >= limit_lifetime;
    return may_send && endpoint.limiter->may_admit(now);
}

void endpoint_table::set_peer_load(std::string_view gateway, std::span<const reported_endpoint_load> loads)
{
    auto found = peer_loads_.find(gateway);
    if (found == peer_loads_.end()) {
        if (loads.empty()) {
            return;
        }
        found = peer_loads_.emplace(std::string{gateway}, std::vector<attributed_load>{}).first;
    }
    auto& attributed = found->second;
    for (const auto& it : attributed) {
        it.endpoint->remove_peer(it.load);
    }
    attributed.clear();
    for (const auto& it : loads) {
        if (auto* endpoint = find(it.instance)) {
            endpoint->add_peer(it.load);
            attributed.push_back({endpoint, it.load});
        }
    }
    if (loads.empty()) {
        peer_loads_.erase(found);
    }
}

std::size_t endpoint_table::endpoint_count(std::string_view service) const
{
    const auto found = by_service_.find(service);
    return found == by_service_.end() ? 0 : found->second.size();
}

bool endpoint_table::are_all_tried(std::string_view service, std::span<const std::string> tried,
                                   const std::string* version) const
{
    const auto found = by_service_.find(service);
    return found == by_service_.end() || std::ranges::all_of(found->second, [&](const endpoint_state* it) {
               return is_departing(*it) || out_of_service_.contains(it->record.failure_domain) ||
                      (version != nullptr && it->record.software_version != *version) ||
                      std::ranges::find(tried, it->record.instance) != tried.end();
           });
}

bool endpoint_table::has_version(std::string_view service, std::string_view version) const
{
    const auto found = by_service_.find(service);
    return found != by_service_.end() && std::ranges::any_of(found->second, [&](const endpoint_state* it) {
               return it->record.software_version == version;
           });
}

std::uint64_t endpoint_table::running_elsewhere(std::string_view service, std::string_view version) const
{
    std::uint64_t out = 0;
    if (const auto found = by_service_.find(service); found != by_service_.end()) {
        for (const auto* it : found->second) {
            out += it->record.software_version == version ? 0U : it->running;
        }
    }
    return out;
}

bool endpoint_table::has_only_versions(std::string_view service, std::span<const std::string> versions) const
{
    const auto found = by_service_.find(service);
    return found != by_service_.end() && std::ranges::all_of(found->second, [&](const endpoint_state* it) {
               return std::ranges::find(versions, it->record.software_version) != versions.end();
           });
}

endpoint_state* endpoint_table::find(std::string_view instance)
{
    const auto it = endpoints_.find(instance);
    return it == endpoints_.end() ? nullptr : it->second.get();
}

void endpoint_table::note_success(endpoint_state& endpoint)
{
    endpoint.consecutive_failures = 0;
    endpoint.consecutive_unreachable = 0;
    endpoint.failure_rate *= 1.0 - failure_weight;
}

void endpoint_table::note_failure(endpoint_state& endpoint, bool was_reached, instant now)
{
    ++endpoint.consecutive_failures;
    endpoint.consecutive_unreachable = was_reached ? 0 : endpoint.consecutive_unreachable + 1;
    endpoint.failure_rate += failure_weight * (1.0 - endpoint.failure_rate);
    const auto others = mean_failure_rate(endpoint.record.service, endpoint);
    if (endpoint.consecutive_failures < 2 && endpoint.failure_rate < suspicion_threshold + 2.0 * others) {
        return;
    }
    const auto doublings = std::min(endpoint.consecutive_failures, max_doublings);
    suspect(endpoint, now + std::min<duration>(max_suspicion_time, base_suspicion_time * (1LL << doublings)));
}

void endpoint_table::note_rejection(endpoint_state& endpoint, bool is_misdirected, instant now)
{
    suspect(endpoint, now + (is_misdirected ? misdirected_backoff : full_backoff));
}

void endpoint_table::suspect(endpoint_state& endpoint, instant until)
{
    endpoint.suspected_until = std::max(endpoint.suspected_until, until);
}

instant endpoint_table::next_availability(instant now) const
{
    auto out = instant::max();
    for (const auto& [name, it] : endpoints_) {
        if (it->cold_until > now && it->cold_limiter && it->cold_limiter->next_admission() > now) {
            out = std::min(out, it->cold_limiter->next_admission());
        }
        if (it->is_resuming && std::max(it->paused_until, it->resume_at) > now) {
            out = std::min(out, std::max(it->paused_until, it->resume_at));
        }
        if (it->limiter && it->limiter->next_admission() > now) {
            out = std::min(out, it->limiter->next_admission());
        }
        if (it->suspected_until > now) {
            out = std::min(out, it->suspected_until);
        }
    }
    return out;
}

double endpoint_table::phase_of(std::string_view instance) const
{
    constexpr double range = 1ULL << 32U;
    return static_cast<double>(XXH64(instance.data(), instance.size(), seed_) >> 32U) / range;
}

bool endpoint_table::is_departing(const endpoint_state& endpoint)
{
    return endpoint.record.is_draining || endpoint.leaving_since != instant::max();
}

bool endpoint_table::accepts_requests(const endpoint_state& endpoint, instant now) const
{
    if (is_departing(endpoint) || out_of_service_.contains(endpoint.record.failure_domain)) {
        return false;
    }
    if (endpoint.paused_until > now || (endpoint.is_resuming && endpoint.resume_at > now)) {
        return false;
    }
    if (!is_within_limit(endpoint, now)) {
        return false;
    }
    return endpoint.cold_until <= now || !endpoint.cold_limiter || endpoint.cold_limiter->may_admit(now);
}

double endpoint_table::mean_failure_rate(std::string_view service, const endpoint_state& except) const
{
    const auto found = by_service_.find(service);
    if (found == by_service_.end() || found->second.size() < 2) {
        return 0.0;
    }
    double sum = 0.0;
    for (const auto* it : found->second) {
        sum += it == &except ? 0.0 : it->failure_rate;
    }
    return sum / static_cast<double>(found->second.size() - 1);
}

} // namespace hemlocknotch::gateway
