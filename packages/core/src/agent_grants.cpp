#include "agent_grants.hpp"

#include "agent_lifecycle.hpp"
#include "room_split.hpp"

#include <algorithm>
#include <string>

namespace hemlocknotch::agent {
namespace {

/// Prompt beginnings named in a grant, at the most.
constexpr std::size_t max_named_prefixes = 16;

/// After a time without demand, most free places are held back for this long until all entries have told
/// theirs: the first one to tell would otherwise get them all. Longer than the entries' demand interval.
constexpr duration gather_time = std::chrono::milliseconds{25};

/// Free places for each one that is granted within `gather_time`.
constexpr long long places_per_early_grant = 8;

/// Free places for each one that is told as room.
constexpr long long places_per_room = 8;

void give_back(agent_parts& parts, const issued_grant& grant)
{
    parts.selector.charge(grant.client_account, -grant.charged);
    parts.demand.on_unused(grant.link, grant.client_account, parts.now);
}

std::vector<std::uint64_t> recent_prefixes(const agent_parts& parts)
{
    const auto& cached = parts.endpoint.cached_prefixes;
    const std::size_t n = std::min(cached.size(), max_named_prefixes);
    return {cached.rbegin(), cached.rbegin() + static_cast<std::ptrdiff_t>(n)};
}

/// Issues one grant. Returns whether there was demand for one.
bool issue_grant(agent_parts& parts)
{
    const std::vector<account_demand> waiting = parts.demand.grantable(parts.now);
    const auto n = parts.selector.next(waiting, parts.now, parts.random.next_bits());
    if (!n) {
        return false;
    }
    const account_key client_account = waiting.at(*n).client_account;
    const link_id link = parts.demand.oldest_link(client_account, parts.now).value();
    const double cost = parts.selector.reserve_for(parts.demand.estimated_cost(link, client_account));
    parts.selector.charge(client_account, cost);
    parts.demand.on_granted(link, client_account);
    const issued_grant& grant = parts.grants.issue(link, client_account, cost, parts.now);
    parts.send(link, grant_message{grant.number, client_account, parts.options.grant_time_to_live,
                                   recent_prefixes(parts)});
    return true;
}

/// Returns the number of grants that may go out now, and asks for a tick where more may later.
long long grants_allowed(agent_parts& parts)
{
    const long long places = free_places(parts) + parts.options.grants_ahead;
    agent_schedule& schedule = parts.schedule;
    if (!schedule.first_demand) {
        schedule.first_demand = parts.now;
        schedule.early_grants = (std::max(0LL, places) + places_per_early_grant - 1) / places_per_early_grant;
    }
    if (parts.now - *schedule.first_demand >= gather_time) {
        return places;
    }
    schedule.next_offer = *schedule.first_demand + gather_time;
    return std::min(places, schedule.early_grants);
}

void issue_grants(agent_parts& parts)
{
    const long long allowed = grants_allowed(parts);
    for (long long n = 0; n < allowed; ++n) {
        if (!issue_grant(parts)) {
            return;
        }
        --parts.schedule.early_grants;
    }
}

/// Returns the room to tell while no demand is known: a small part of the free places. The rest goes by
/// grants when work comes for it, in fair order; requests sent into room come in no order between entries,
/// and where a backlog begins they would decide who runs for as long as they take.
std::uint32_t room_to_tell(const agent_parts& parts)
{
    const long long places = std::max(0LL, free_places(parts));
    return static_cast<std::uint32_t>((places + places_per_room - 1) / places_per_room);
}

void tell_room(agent_parts& parts, std::uint32_t places)
{
    std::vector<link_room> told;
    for (const auto& [link, it] : parts.links.all()) {
        if (it.peer && !it.is_superseded) {
            told.push_back({link, it.room_told});
        }
    }
    const std::vector<link_room> wanted = split_room(told, places, parts.options.identity.incarnation);
    const bool is_out = is_draining(parts);
    for (const link_room& item : wanted) {
        agent_link& it = *parts.links.find(item.link);
        if (it.room_told == item.room && it.is_draining_told == is_out) {
            continue;
        }
        it.room_told = item.room;
        it.is_draining_told = is_out;
        parts.send(item.link, free_slots_message{item.room, is_out,
                                                 static_cast<std::uint32_t>(parts.dispatches.running()),
                                                 parts.limit->limit()});
    }
}

} // namespace

long long free_places(const agent_parts& parts)
{
    const std::size_t taken = parts.dispatches.running() + parts.dispatches.waiting() + parts.grants.size();
    return static_cast<long long>(parts.limit->limit()) - static_cast<long long>(taken);
}

void on_demand(agent_parts& parts, link_id link, const demand_message& value)
{
    const agent_link* const it = parts.links.find(link);
    if (it == nullptr || it->is_superseded) {
        return;
    }
    parts.demand.on_demand(link, value, parts.now);
    parts.selector.set_backlogged(parts.demand.backlogged(), parts.now);
}

void on_decline(agent_parts& parts, link_id link, const decline_message& value)
{
    if (const auto grant = parts.grants.take(value.grant, link, parts.now)) {
        give_back(parts, *grant);
        parts.count("hemlocknotch_grants_total", "outcome", "declined");
    }
}

void expire_grants(agent_parts& parts)
{
    for (const issued_grant& it : parts.grants.take_expired(parts.now)) {
        give_back(parts, it);
        parts.count("hemlocknotch_grants_total", "outcome", "expired");
    }
}

void return_grants_of(agent_parts& parts, link_id link)
{
    for (const issued_grant& it : parts.grants.take_link(link)) {
        give_back(parts, it);
    }
}

void offer_places(agent_parts& parts)
{
    parts.schedule.next_offer.reset();
    if (reason_against_work(parts)) {
        tell_room(parts, 0);
        return;
    }
    if (parts.demand.has_any()) {
        tell_room(parts, 0);
        issue_grants(parts);
        if (free_places(parts) > 0 && !parts.schedule.next_offer) {
            parts.schedule.next_offer = parts.demand.next_retry(parts.now);
        }
        return;
    }
    parts.schedule.first_demand.reset();
    tell_room(parts, room_to_tell(parts));
}

} // namespace hemlocknotch::agent
