#include "agent_grants.hpp"

#include "agent_lifecycle.hpp"
#include "slot_split.hpp"

#include <algorithm>
#include <string>

namespace hemlocknotch::agent {
namespace {

/// Prompt beginnings named in a grant, at the most.
constexpr std::size_t max_named_prefixes = 16;

/// After a time without demand, most free places are held back for this long until all entries have told
/// theirs: the first one to tell would otherwise get them all. Longer than the entries' demand interval.
constexpr duration demand_gather_time = std::chrono::milliseconds{25};

/// Free places for each one that is granted within `demand_gather_time`.
constexpr long long slots_per_early_grant = 8;

/// Free places for each one that is told as room.
constexpr long long slots_per_advertised_slot = 8;

void return_grant(agent_context& context, const issued_grant& grant)
{
    context.selector.charge(grant.client_account, -grant.charged);
    context.demand.on_unused(grant.link, grant.client_account, context.now);
}

std::vector<std::uint64_t> recent_prefixes(const agent_context& context)
{
    const auto& cached = context.endpoint.cached_prefixes;
    const std::size_t n = std::min(cached.size(), max_named_prefixes);
    return {cached.rbegin(), cached.rbegin() + static_cast<std::ptrdiff_t>(n)};
}

/// Issues one grant. Returns whether there was demand for one.
bool issue_grant(agent_context& context)
{
    const std::vector<account_demand> waiting = context.demand.grantable(context.now);
    const auto n = context.selector.next(waiting, context.now, context.random.next_bits());
    if (!n) {
        return false;
    }
    const account_key client_account = waiting.at(*n).client_account;
    const link_id link = context.demand.oldest_link(client_account, context.now).value();
    const double cost = context.selector.reserve_for(context.demand.estimated_cost(link, client_account));
    context.selector.charge(client_account, cost);
    context.demand.on_granted(link, client_account);
    const issued_grant& grant = context.grants.issue(link, client_account, cost, context.now);
    context.send(link, grant_message{grant.number, client_account, context.options.grant_time_to_live,
                                     recent_prefixes(context)});
    return true;
}

/// Returns the number of grants that may go out now, and asks for a tick where more may later.
long long grants_allowed(agent_context& context)
{
    const long long places = free_slots(context) + context.options.grants_ahead;
    agent_schedule& schedule = context.schedule;
    if (!schedule.first_demand) {
        schedule.first_demand = context.now;
        schedule.early_grants = (std::max(0LL, places) + slots_per_early_grant - 1) / slots_per_early_grant;
    }
    if (context.now - *schedule.first_demand >= demand_gather_time) {
        return places;
    }
    schedule.next_offer = *schedule.first_demand + demand_gather_time;
    return std::min(places, schedule.early_grants);
}

void issue_grants(agent_context& context)
{
    const long long allowed = grants_allowed(context);
    for (long long n = 0; n < allowed; ++n) {
        if (!issue_grant(context)) {
            return;
        }
        --context.schedule.early_grants;
    }
}

/// Returns the room to tell while no demand is known: a small part of the free places. The rest goes by
/// grants when work comes for it, in fair order; requests sent into room come in no order between entries,
/// and where a backlog begins they would decide who runs for as long as they take.
std::uint32_t slots_to_advertise(const agent_context& context)
{
    const long long places = std::max(0LL, free_slots(context));
    return static_cast<std::uint32_t>((places + slots_per_advertised_slot - 1) / slots_per_advertised_slot);
}

void advertise_slots(agent_context& context, std::uint32_t places)
{
    std::vector<link_slots> told;
    for (const auto& [link, it] : context.links.all()) {
        if (it.peer && !it.is_superseded) {
            told.push_back({link, it.advertised_slots});
        }
    }
    const std::vector<link_slots> wanted = split_slots(told, places, context.options.identity.incarnation);
    const bool is_out = is_draining(context);
    for (const link_slots& item : wanted) {
        agent_link& it = *context.links.find(item.link);
        if (it.advertised_slots == item.slots && it.is_draining_advertised == is_out) {
            continue;
        }
        it.advertised_slots = item.slots;
        it.is_draining_advertised = is_out;
        context.send(item.link, free_slots_message{item.slots, is_out,
                                                   static_cast<std::uint32_t>(context.dispatches.running()),
                                                   context.limit->limit()});
    }
}

} // namespace

long long free_slots(const agent_context& context)
{
    const std::size_t taken =
        context.dispatches.running() + context.dispatches.waiting() + context.grants.size();
    return static_cast<long long>(context.limit->limit()) - static_cast<long long>(taken);
}

void on_demand(agent_context& context, link_id link, const demand_message& value)
{
    const agent_link* const it = context.links.find(link);
    if (it == nullptr || it->is_superseded) {
        return;
    }
    context.demand.on_demand(link, value, context.now);
    context.selector.set_backlogged(context.demand.backlogged(), context.now);
}

void on_decline(agent_context& context, link_id link, const decline_message& value)
{
    if (const auto grant = context.grants.take(value.grant, link, context.now)) {
        return_grant(context, *grant);
        context.count("hemlocknotch_grants_total", "outcome", "declined");
    }
}

void expire_grants(agent_context& context)
{
    for (const issued_grant& it : context.grants.take_expired(context.now)) {
        return_grant(context, it);
        context.count("hemlocknotch_grants_total", "outcome", "expired");
    }
}

void return_grants_of(agent_context& context, link_id link)
{
    for (const issued_grant& it : context.grants.take_for_link(link)) {
        return_grant(context, it);
    }
}

void offer_slots(agent_context& context)
{
    context.schedule.next_offer.reset();
    if (work_refusal(context)) {
        advertise_slots(context, 0);
        return;
    }
    if (context.demand.has_any()) {
        advertise_slots(context, 0);
        issue_grants(context);
        if (free_slots(context) > 0 && !context.schedule.next_offer) {
            context.schedule.next_offer = context.demand.next_retry(context.now);
        }
        return;
    }
    context.schedule.first_demand.reset();
    advertise_slots(context, slots_to_advertise(context));
}

} // namespace hemlocknotch::agent
