#include <hemlocknotch/gateway/crash_breaker.hpp>

#include <algorithm>
#include <cassert>
#include <cstring>
#include <functional>
#include <iterator>
#include <optional>
#include <tuple>
#include <utility>

namespace hemlocknotch::gateway {
namespace {

/// Time for which a cleared signature is reported, and in which reports against it are ignored: several
/// reports of a large fleet.
constexpr duration sound_report_time = std::chrono::seconds{4};
/// Time for which a signature that is not suspected is reported. After the loss of a failure domain there are
/// many of them, and every gateway sends its report to all others.
constexpr duration unsuspected_report_time = std::chrono::seconds{30};
/// A block that disappears from the registry earlier than this before its end was lifted; otherwise its
/// registration has lapsed.
constexpr duration lapse_margin = std::chrono::seconds{2};
/// Maximum number of endpoints recorded for each signature.
constexpr std::size_t max_ends = 16;

std::span<const request_signature> considered(std::span<const request_signature> all)
{
    return all.last(std::min(all.size(), crash_breaker::max_signatures_per_request));
}

/// Returns the key by which gateways rank themselves for `signature`.
std::string rank_key_of(const request_signature& signature)
{
    std::string out(sizeof signature.low, '\0');
    std::memcpy(out.data(), &signature.low, sizeof signature.low);
    return out;
}

/// Number of the block after a trial that ended its endpoint, if it is not the first one. Blocks between the
/// first and this one follow trials without a result.
constexpr unsigned second_crash_block = 3;

duration block_time_of(const request_signature& signature, unsigned block)
{
    if (block > second_crash_block || (block == second_crash_block && signature.is_prompt_part())) {
        return crash_breaker::block_time;
    }
    if (block == second_crash_block || signature.is_prompt_part()) {
        return crash_breaker::first_block_time;
    }
    // A request as a whole has few sound runs that could clear it, so that it is blocked by mistake more
    // easily.
    return block == 1 ? crash_breaker::short_block_time : 2 * crash_breaker::short_block_time;
}

} // namespace

crash_breaker::crash_breaker(std::string own_name) : roster_{std::move(own_name)}
{
}

std::set<std::string_view> crash_breaker::endpoints_of(const signature_state& it)
{
    std::set<std::string_view> out;
    for (const auto& [instance, at] : it.ends) {
        out.insert(instance);
    }
    for (const auto& [gateway, instances] : it.reported_ends) {
        out.insert(instances.begin(), instances.end());
    }
    return out;
}

bool crash_breaker::is_suspected(const signature_state& it)
{
    // A signature that was blocked stays suspected until a trial clears it.
    return it.block > 0 || endpoints_of(it).size() >= suspicion_ends;
}

duration crash_breaker::turn_of(const request_signature& signature) const
{
    const auto step = std::min(trial_step, max_trial_spread / static_cast<std::int64_t>(roster_.size()));
    return step * static_cast<std::int64_t>(roster_.rank_for(rank_key_of(signature)));
}

signature_decision crash_breaker::decide(exchange_id exchange, std::span<const request_signature> signatures,
                                         instant now) const
{
    signature_decision out;
    bool may_try = true;
    instant turn_at{};
    for (const auto& signature : considered(signatures)) {
        const auto found = states_.find(signature);
        if (found == states_.end()) {
            continue;
        }
        const auto& it = found->second;
        if (it.blocked_until > now) {
            return {signature_verdict::blocked, signature, it.blocked_until - now};
        }
        if (is_suspected(it)) {
            // The last suspected signature decides, which is the most specific one.
            out = {signature_verdict::trial, signature, duration::zero()};
            may_try = may_try && (signature.is_prompt_part() || !has_other_request_trial(exchange));
            const auto has_other_trial = it.trial != 0 ? it.trial != exchange : !it.reported_trials.empty();
            const auto since = std::max(it.changed_at, it.blocked_until);
            const auto delay = trial_delay * (1LL << it.trials_without_result);
            may_try = may_try && !has_other_trial && now - std::max(since, it.trial_ended_at) >= delay;
            turn_at = since + trial_delay;
        }
    }
    if (out.verdict == signature_verdict::trial && (!may_try || now < turn_at + turn_of(out.signature))) {
        out.verdict = signature_verdict::suspected;
        out.retry_after = suspicion_retry_time;
    }
    return out;
}

bool crash_breaker::has_other_request_trial(exchange_id exchange) const
{
    return std::ranges::any_of(states_, [&](const auto& it) {
        return !it.first.is_prompt_part() && it.second.trial != 0 && it.second.trial != exchange;
    });
}

void crash_breaker::note_sent(exchange_id exchange, std::span<const request_signature> signatures)
{
    for (const auto& signature : considered(signatures)) {
        const auto it = states_.find(signature);
        if (it != states_.end() && is_suspected(it->second)) {
            it->second.trial = exchange;
            is_urgent_ = true;
        }
    }
}

void crash_breaker::note_done(exchange_id exchange, std::span<const request_signature> signatures,
                              bool was_reached, instant now)
{
    for (const auto& signature : considered(signatures)) {
        const auto it = states_.find(signature);
        if (it != states_.end() && it->second.trial == exchange) {
            auto& state = it->second;
            state.trial = 0;
            if (!was_reached) {
                continue;
            }
            const auto has_result = state.changed_at == now;
            state.trials_without_result =
                has_result ? 0 : std::min(state.trials_without_result + 1, max_trial_doublings);
            state.trial_ended_at = now;
            const auto is_proven =
                state.block > 0 || (!signature.is_prompt_part() && endpoints_of(state).size() >= block_ends);
            if (!has_result && is_proven && state.blocked_until <= now) {
                // It has reached an endpoint all the same, and only a few may.
                begin_block(signature, state, state.block + 1, now);
            }
        }
    }
}

crash_breaker::signature_state& crash_breaker::find_or_add(const request_signature& signature, instant now)
{
    if (!states_.contains(signature) && states_.size() >= max_signatures) {
        const auto oldest = std::ranges::min_element(states_, {}, [](const auto& it) {
            return std::tuple{it.second.block, is_suspected(it.second), it.first.is_prompt_part(),
                              it.second.changed_at};
        });
        states_.erase(oldest);
    }
    const auto [it, is_new] = states_.try_emplace(signature);
    it->second.changed_at = is_new ? now : it->second.changed_at;
    return it->second;
}

void crash_breaker::note_end(exchange_id exchange, std::span<const request_signature> signatures,
                             std::string_view endpoint, instant now)
{
    assert(exchange != 0);
    ended_.insert_or_assign(std::string{endpoint}, now);
    std::optional<request_signature> tried_part;
    std::optional<request_signature> tried_request;
    for (const auto& signature : considered(signatures)) {
        auto& it = find_or_add(signature, now);
        const auto was_suspected = is_suspected(it);
        if (was_suspected && it.trial == exchange) {
            (signature.is_prompt_part() ? tried_part : tried_request) = signature;
        }
        if (it.ends.size() < max_ends) {
            it.ends.insert_or_assign(std::string{endpoint}, now);
            it.changed_at = now;
        }
        if (!was_suspected && is_suspected(it)) {
            is_urgent_ = true;
            add_event(signature_event::kind::suspected, signature, it, {});
        }
    }
    // The trial does not tell whether the part or the rest of the request ended the endpoint.
    for (const auto& tried : {tried_part, tried_request}) {
        if (tried) {
            block_after_trial(*tried, now);
        }
    }
}

void crash_breaker::note_answer(std::string_view endpoint, instant sent_at)
{
    const auto ended = ended_.find(endpoint);
    if (ended == ended_.end() || sent_at <= ended->second) {
        return;
    }
    ended_.erase(ended);
    for (auto& [signature, it] : states_) {
        const auto end = it.ends.find(endpoint);
        if (end == it.ends.end()) {
            continue;
        }
        const auto was_suspected = is_suspected(it);
        it.ends.erase(end);
        if (was_suspected && !is_suspected(it)) {
            is_urgent_ = true;
            add_event(signature_event::kind::cleared, signature, it, {});
        }
    }
}

void crash_breaker::block_after_trial(const request_signature& tried, instant now)
{
    const auto found = states_.find(tried);
    if (found == states_.end()) {
        return;
    }
    auto& it = found->second;
    if (it.blocked_until <= now && (it.block > 0 || endpoints_of(it).size() >= block_ends)) {
        begin_block(tried, it, it.block == 0 ? 1 : std::max(it.block + 1, second_crash_block), now);
    }
}

void crash_breaker::begin_block(const request_signature& signature, signature_state& it, unsigned block,
                                instant now)
{
    is_urgent_ = true;
    set_block(signature, it, block, block_time_of(signature, block), now, {});
}

void crash_breaker::set_block(const request_signature& signature, signature_state& it, unsigned block,
                              duration remaining, instant now, std::string_view source)
{
    it.block = block;
    it.blocked_until = now + remaining;
    it.changed_at = now;
    add_event(signature_event::kind::blocked, signature, it, source);
}

void crash_breaker::note_sound(std::span<const request_signature> signatures, instant now)
{
    for (const auto& signature : considered(signatures)) {
        const auto found = states_.find(signature);
        if (found == states_.end()) {
            continue;
        }
        sound_[signature] = now;
        is_urgent_ = is_urgent_ || is_suspected(found->second);
        if (found->second.registered_block > 0) {
            blocks_to_remove_.push_back(signature);
        }
        clear(signature, signature_event::kind::cleared, {});
    }
}

void crash_breaker::clear(const request_signature& signature, signature_event::kind what,
                          std::string_view source)
{
    const auto found = states_.find(signature);
    assert(found != states_.end());
    if (is_suspected(found->second)) {
        add_event(what, signature, found->second, source);
    }
    states_.erase(found);
}

std::vector<const crash_breaker::state_map::value_type*>
crash_breaker::entries_to_report(bool are_prompt_parts, instant now) const
{
    std::vector<const state_map::value_type*> out;
    for (const auto& entry : states_) {
        const auto& it = entry.second;
        const auto is_relevant = is_suspected(it) || now - it.changed_at < unsuspected_report_time;
        if (entry.first.is_prompt_part() == are_prompt_parts && is_relevant &&
            (!it.ends.empty() || it.block > 0 || it.trial != 0)) {
            out.push_back(&entry);
        }
    }
    // The requests beside one that crashes an endpoint are many, and each is seen once.
    const auto count = std::min(out.size(), max_reported);
    std::ranges::partial_sort(out, out.begin() + static_cast<std::ptrdiff_t>(count), std::greater{},
                              [](const auto* it) {
                                  return std::pair{is_suspected(it->second), it->second.changed_at};
                              });
    out.resize(count);
    return out;
}

signature_reports crash_breaker::create_report(instant now)
{
    remove_outdated(now);
    signature_reports out;
    auto entries = entries_to_report(true, now);
    std::ranges::copy(entries_to_report(false, now), std::back_inserter(entries));
    for (const auto* entry : entries) {
        const auto& [signature, it] = *entry;
        auto& added = out.known.emplace_back();
        added.signature = signature;
        added.block = it.block;
        added.has_trial = it.trial != 0;
        added.blocked_for = std::max(duration::zero(), it.blocked_until - now);
        for (const auto& [instance, at] : it.ends) {
            if (added.endpoints.size() < max_reported_ends) {
                added.endpoints.push_back(instance);
            }
        }
    }
    for (const auto& [signature, at] : sound_) {
        if (out.sound.size() < max_reported) {
            out.sound.push_back(signature);
        }
    }
    return out;
}

void crash_breaker::apply_report(std::string_view gateway, const signature_reports& report, instant now)
{
    for (const auto& signature : report.sound) {
        if (states_.contains(signature)) {
            clear(signature, signature_event::kind::cleared, gateway);
        }
    }
    std::set<request_signature> suspected;
    std::map<request_signature, std::vector<std::string>> previous;
    for (auto& [signature, it] : states_) {
        if (is_suspected(it)) {
            suspected.insert(signature);
        }
        if (const auto found = it.reported_ends.find(gateway); found != it.reported_ends.end()) {
            previous.emplace(signature, std::move(found->second));
            it.reported_ends.erase(found);
        }
        remove_trial(it, gateway);
    }
    for (const auto& reported : report.known) {
        // A block that is over says nothing to a gateway that has not known it.
        const auto is_over = reported.endpoints.empty() && reported.blocked_for <= duration::zero();
        if (sound_.contains(reported.signature) || (is_over && !states_.contains(reported.signature))) {
            continue;
        }
        auto& it = find_or_add(reported.signature, now);
        if (reported.has_trial) {
            it.reported_trials.emplace(gateway);
        }
        if (!reported.endpoints.empty()) {
            const auto known = endpoints_of(it);
            const auto& before = previous[reported.signature];
            const auto is_new = std::ranges::any_of(reported.endpoints, [&](const std::string& instance) {
                return !known.contains(instance) && std::ranges::find(before, instance) == before.end();
            });
            it.changed_at = is_new ? now : it.changed_at;
            const auto n = std::min(reported.endpoints.size(), max_reported_ends);
            it.reported_ends.insert_or_assign(
                std::string{gateway},
                std::vector<std::string>{reported.endpoints.begin(),
                                         reported.endpoints.begin() + static_cast<std::ptrdiff_t>(n)});
        }
        if (reported.block > it.block && !lifted_.contains(reported.signature)) {
            const auto remaining =
                std::min(reported.blocked_for, block_time_of(reported.signature, reported.block));
            set_block(reported.signature, it, reported.block, remaining, now, gateway);
        }
        else if (is_suspected(it) && !suspected.contains(reported.signature)) {
            add_event(signature_event::kind::suspected, reported.signature, it, gateway);
        }
    }
    remove_outdated(now);
}

void crash_breaker::remove_gateway(std::string_view gateway)
{
    for (auto& [signature, it] : states_) {
        if (const auto found = it.reported_ends.find(gateway); found != it.reported_ends.end()) {
            it.reported_ends.erase(found);
        }
        remove_trial(it, gateway);
    }
}

void crash_breaker::remove_trial(signature_state& it, std::string_view gateway)
{
    if (const auto found = it.reported_trials.find(gateway); found != it.reported_trials.end()) {
        it.reported_trials.erase(found);
    }
}

void crash_breaker::set_registered(std::span<const signature_block> blocks,
                                   std::span<const request_signature> lifted, instant now)
{
    for (const auto& signature : lifted) {
        const auto found = states_.find(signature);
        if (found == states_.end()) {
            continue;
        }
        found->second.registered_block = 0;
        if (found->second.blocked_until > now + lapse_margin) {
            lifted_[signature] = now;
            clear(signature, signature_event::kind::lifted, {});
        }
    }
    for (auto& [signature, it] : states_) {
        it.registered_block = 0;
    }
    for (const auto& block : blocks) {
        auto& it = find_or_add(block.signature, now);
        it.registered_block = block.block;
        if (block.block > it.block) {
            set_block(block.signature, it, block.block, block_time_of(block.signature, block.block), now,
                      "registry");
        }
    }
}

std::vector<signature_block> crash_breaker::blocks_to_register(instant now) const
{
    std::vector<signature_block> out;
    for (const auto& [signature, it] : states_) {
        if (it.blocked_until > now && it.block > it.registered_block &&
            now >= it.changed_at + turn_of(signature)) {
            out.push_back({signature, it.block});
        }
    }
    return out;
}

std::vector<request_signature> crash_breaker::take_blocks_to_remove()
{
    return std::exchange(blocks_to_remove_, {});
}

std::vector<signature_event> crash_breaker::take_events()
{
    return std::exchange(events_, {});
}

bool crash_breaker::take_urgency()
{
    return std::exchange(is_urgent_, false);
}

std::size_t crash_breaker::blocked_count(instant now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(states_, [&](const auto& it) { return it.second.blocked_until > now; }));
}

void crash_breaker::add_event(signature_event::kind what, const request_signature& signature,
                              const signature_state& it, std::string_view source)
{
    const auto endpoints = endpoints_of(it);
    events_.push_back({what, signature, {endpoints.begin(), endpoints.end()}, it.block, std::string{source}});
}

void crash_breaker::remove_outdated(instant now)
{
    for (auto& [signature, it] : states_) {
        std::erase_if(it.ends, [&](const auto& end) { return now - end.second >= evidence_lifetime; });
    }
    std::erase_if(states_, [&](const auto& it) {
        const auto& state = it.second;
        return state.ends.empty() && state.reported_ends.empty() &&
               (state.block == 0 || now - state.blocked_until >= evidence_lifetime);
    });
    std::erase_if(ended_, [&](const auto& it) { return now - it.second >= evidence_lifetime; });
    std::erase_if(sound_, [&](const auto& it) { return now - it.second >= sound_report_time; });
    std::erase_if(lifted_, [&](const auto& it) { return now - it.second >= sound_report_time; });
}

} // namespace hemlocknotch::gateway
