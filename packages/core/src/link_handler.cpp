#include "link_handler.hpp"

#include <hemlocknotch/core/link_subset.hpp>

#include "demand_reporter.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace hemlocknotch {
namespace {

/// Factor by which the heartbeat interval is longer on a link without outstanding requests and reported
/// demand.
constexpr int idle_factor = 4;

/// Minimum time between two reports of demand that an agent does not know about.
constexpr duration urgent_interval = std::chrono::milliseconds{1};

template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};

template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

/// Returns why a link cannot be used; empty if it can.
std::string_view rejection_of(const hello_message& value, const outgoing_link& link)
{
    if (value.version != protocol_version) {
        return "the peer has another protocol version";
    }
    if (value.role != process_role::agent) {
        return "the peer is no agent";
    }
    if (value.sender.name != link.target) {
        return "the instance list gives this address to another instance";
    }
    return {};
}

} // namespace

void link_handler::on_members(entry_step& step, const members_event& value)
{
    data_.members = value.members;
    const auto positions =
        choose_links(data_.options.identity.name, data_.options.failure_domain, data_.members,
                     link_subset_options{.agents_per_service = data_.options.agents_per_service});
    std::vector<member> chosen;
    chosen.reserve(positions.size());
    for (const std::size_t it : positions) {
        chosen.push_back(data_.members.at(it));
    }
    data_.links.choose(step, chosen);
    data_.update_permissions();
    const bool has_other_domains =
        std::any_of(data_.members.begin(), data_.members.end(),
                    [&](const auto& it) { return it.failure_domain != data_.options.failure_domain; });
    data_.reachability.set_has_other_domains(has_other_domains);
    maintain(step);
}

void link_handler::on_opened(entry_step& step, const link_opened_event& value)
{
    outgoing_link* const link = data_.links.find(value.link);
    if (link == nullptr || link->is_open || link->is_closing) {
        return;
    }
    link->is_open = true;
    link->last_received = step.now();
    link_table::send(step, *link,
                     hello_message{.role = process_role::entry,
                                   .sender = data_.options.identity,
                                   .failure_domain = data_.options.failure_domain,
                                   .service = {},
                                   .configuration_revision = data_.configuration.revision()});
}

void link_handler::on_closed(entry_step& step, const link_closed_event& value)
{
    outgoing_link* const link = data_.links.find(value.link);
    if (link == nullptr) {
        return;
    }
    step.emit(
        log_effect{log_level::info, "link-closed", {{"agent", link->target}, {"reason", value.reason}}});
    const std::string name = link->target;
    const bool had_hello = !link->peer.name.empty();
    const bool was_opened = link->is_open || link->is_closing;
    agent_target* const target = data_.links.find_target(link->target);
    if (target != nullptr && target->replacement == value.link && was_opened) {
        // The agent may already treat the replacement as the link in use and ignore the other one.
        close_in_use(step, *target);
    }
    data_.links.send_all(step, data_.configuration.remove_link(value.link));
    data_.links.remove(value.link);
    data_.update_permissions();
    if (target != nullptr) {
        target->failures = had_hello ? 1 : target->failures + 1;
        target->retry_at = step.now() + jittered_backoff(data_.options.reconnect_backoff,
                                                         data_.options.reconnect_backoff_limit,
                                                         target->failures, step.random().next_fraction());
    }
    for (const request_id& id : data_.requests.outstanding_at(name)) {
        entry_request* const request = data_.requests.find(id);
        if (request->link == value.link) {
            outcomes_.on_link_lost(step, *request);
        }
    }
    outgoing_link* const other = data_.links.usable_link_to(name);
    if (other != nullptr) {
        resolve_outstanding(step, *other);
    }
}

void link_handler::close_in_use(entry_step& step, const agent_target& target)
{
    if (outgoing_link* const link = data_.links.find(target.link)) {
        link_table::close(step, *link, "the link that was to replace it has closed");
    }
}

void link_handler::on_message(entry_step& step, const link_message_event& value)
{
    outgoing_link* const link = data_.links.find(value.link);
    if (link == nullptr || !link->is_open) {
        return;
    }
    link->last_received = step.now();
    link->probed_at.reset();
    if (const auto* const hello = std::get_if<hello_message>(&value.content)) {
        if (!link->has_hello) {
            on_hello(step, *link, *hello);
        }
        return;
    }
    if (link->has_hello) {
        on_contact(step, *link);
        handle_message(step, *link, value.content);
    }
}

void link_handler::on_hello(entry_step& step, outgoing_link& link, const hello_message& value)
{
    const std::string_view rejection = rejection_of(value, link);
    if (!rejection.empty()) {
        step.emit(log_effect{
            log_level::warning,
            "link-refused",
            {{"agent", link.target}, {"peer", value.sender.name}, {"reason", std::string{rejection}}}});
        link_table::close(step, link, std::string{rejection});
        return;
    }
    link.has_hello = true;
    link.peer = value.sender;
    link.failure_domain = value.failure_domain;
    link.service = account_key::of(value.service);
    on_contact(step, link);
    data_.links.find_target(link.target)->failures = 0;
    if (outgoing_link* const before = data_.links.put_in_use(link)) {
        link_table::close(step, *before, "replaced by a new link");
    }
    data_.update_permissions();
    step.emit(log_effect{
        log_level::info,
        "link-opened",
        {{"agent", link.peer.name}, {"service", value.service}, {"failure_domain", link.failure_domain}}});
    data_.links.send_all(step, data_.configuration.add_link(link.id, value.configuration_revision));
    reports_.on_hello(step, link);
    resolve_outstanding(step, link);
}

void link_handler::resolve_outstanding(entry_step& step, outgoing_link& link)
{
    for (const request_id& id : data_.requests.outstanding_at(link.peer.name)) {
        entry_request* const request = data_.requests.find(id);
        if (request == nullptr || request->link == link.id) {
            continue;
        }
        if (request->agent != link.peer) {
            outcomes_.on_unresolvable(step, *request);
            continue;
        }
        outcomes_.on_link_lost(step, *request);
        outcomes_.resolve(step, link, *request);
    }
}

void link_handler::on_contact(const entry_step& step, const outgoing_link& link)
{
    if (link.failure_domain == data_.options.failure_domain) {
        data_.reachability.on_own_domain_contact(step.now());
    }
    else {
        data_.reachability.on_other_domain_contact(step.now());
    }
}

void link_handler::handle_message(entry_step& step, outgoing_link& link, const message& content)
{
    std::visit(overloaded{
                   [&](const refuse_message& it) { outcomes_.on_refuse(step, link, it); },
                   [&](const head_message& it) { outcomes_.on_head(step, link, it); },
                   [&](const part_message& it) { outcomes_.on_part(step, link, it); },
                   [&](const end_message& it) { outcomes_.on_end(step, link, it); },
                   [&](const resolved_message& it) { outcomes_.on_resolved(step, link, it); },
                   [&](const free_slots_message& it) { dispatcher_.on_free_slots(step, link, it); },
                   [&](const grant_message& it) { dispatcher_.on_grant(step, link, it); },
                   [&](const service_report_message& it) { on_service_report(link, it); },
                   [&](const revision_message& it) {
                       data_.links.send_all(step, data_.configuration.on_revision(link.id, it.revision));
                   },
                   [&](const configuration_request_message& /*it*/) {
                       data_.links.send_all(step, data_.configuration.on_request(link.id));
                   },
                   [&](const configuration_message& it) {
                       if (auto read = data_.configuration.on_document(it)) {
                           step.emit(std::move(*read));
                       }
                   },
                   [&](const heartbeat_message& it) {
                       if (!it.is_reply) {
                           link_table::send(step, link, heartbeat_message{it.sequence, true});
                       }
                   },
                   [&](const auto& /*it*/) {
                       step.emit(
                           log_effect{log_level::warning,
                                      "unexpected-message",
                                      {{"agent", link.peer.name}, {"kind", std::string{kind_of(content)}}}});
                   },
               },
               content);
}

void link_handler::on_service_report(outgoing_link& link, const service_report_message& value)
{
    if (value.service != link.service) {
        return;
    }
    const auto [it, is_new] = data_.ledgers.try_emplace(value.service, data_.options.identity);
    it->second.merge(value);
}

std::optional<instant> link_handler::report_demand(entry_step& step)
{
    std::optional<instant> next_report_at;
    for (auto& [id, link] : data_.links.links()) {
        if (!link.has_hello) {
            continue;
        }
        const bool is_wanted = entry_data::may_send_work(link);
        const waiting_queue& queue = data_.queues[link.service];
        if (is_wanted && !is_demand_due(queue, link.reported)) {
            continue;
        }
        const bool is_urgent = is_wanted && is_demand_urgent(queue, link.reported);
        const instant due_at = is_urgent ? link.reported.urgent_at : link.reported.next_at;
        if (due_at > step.now()) {
            next_report_at = std::min(next_report_at.value_or(due_at), due_at);
            continue;
        }
        auto demand =
            is_wanted ? next_demand(queue, link.reported, step.now()) : retract_demand(link.reported);
        if (demand) {
            link.reported.next_at = step.now() + data_.options.demand_interval;
            link.reported.urgent_at = step.now() + std::min(urgent_interval, data_.options.demand_interval);
            link_table::send(step, link, std::move(*demand));
        }
    }
    return next_report_at;
}

bool link_handler::is_active(const outgoing_link& link) const
{
    return data_.requests.has_outstanding_at(link.peer.name) || !link.reported.accounts.empty();
}

void link_handler::maintain(entry_step& step)
{
    for (auto& [id, link] : data_.links.links()) {
        maintain_link(step, link);
    }
    auto& targets = data_.links.targets();
    for (auto it = targets.begin(); it != targets.end();) {
        agent_target& target = it->second;
        const bool is_needed = target.is_chosen || data_.requests.has_outstanding_at(it->first);
        if (!is_needed && target.link == 0 && target.replacement == 0) {
            it = targets.erase(it);
            continue;
        }
        maintain_target(step, target);
        ++it;
    }
}

void link_handler::maintain_link(entry_step& step, outgoing_link& link)
{
    const entry_options& options = data_.options;
    if (link.is_closing) {
        return;
    }
    if (!link.has_hello) {
        if (step.now() - link.last_received >= options.peer_timeout) {
            link_table::close(step, link, "no hello in time");
        }
        return;
    }
    const duration interval = options.heartbeat_interval * (is_active(link) ? 1 : idle_factor);
    const duration idle_time = step.now() - std::min(link.last_received, link.last_sent);
    if (idle_time < interval || (link.probed_at && step.now() - link.last_sent < interval)) {
        return;
    }
    link.probed_at = link.probed_at.value_or(step.now());
    link_table::send(step, link, heartbeat_message{++link.heartbeat_sequence, false});
}

void link_handler::maintain_target(entry_step& step, agent_target& target)
{
    const bool is_needed = target.is_chosen || data_.requests.has_outstanding_at(target.description.name);
    if (!is_needed) {
        for (const link_id it : {target.link, target.replacement}) {
            if (outgoing_link* const link = data_.links.find(it)) {
                link_table::close(step, *link, "no longer needed");
            }
        }
        return;
    }
    if (step.now() < target.retry_at || target.replacement != 0) {
        return;
    }
    const outgoing_link* const link = data_.links.find(target.link);
    const duration allowed = data_.options.peer_timeout - data_.options.heartbeat_interval;
    const bool is_unresponsive =
        link != nullptr && link->has_hello && link->probed_at && step.now() - *link->probed_at >= allowed;
    if (is_unresponsive) {
        step.emit(log_effect{log_level::warning, "link-silent", {{"agent", link->target}}});
    }
    if (link == nullptr || is_unresponsive) {
        data_.links.open(step, target);
    }
}

} // namespace hemlocknotch
