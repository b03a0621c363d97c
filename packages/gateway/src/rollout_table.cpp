#include <hemlocknotch/gateway/rollout_table.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace hemlocknotch::gateway {

rollout_table::rollout_table(std::string gateway, double exposure_share)
    : gateway_{std::move(gateway)}, exposure_share_{exposure_share}, roster_{gateway_}
{
}

rollout_plan& rollout_table::plan_of(const std::string& service)
{
    const auto found = plans_.find(service);
    if (found != plans_.end()) {
        return found->second;
    }
    auto& out = plans_.emplace(service, rollout_plan{service, exposure_share_}).first->second;
    std::vector<const endpoint_record*> own;
    for (const auto& it : endpoints_) {
        if (it.service == service) {
            own.push_back(&it);
        }
    }
    out.set_endpoints(own);
    return out;
}

void rollout_table::set_registered(const registered_rollouts& registered, instant now)
{
    std::map<std::string_view, const registered_rollout_order*> orders;
    std::map<std::string_view, const registered_rollout_record*> records;
    for (const auto& it : registered.orders) {
        orders.emplace(it.order.service, &it);
        plan_of(it.order.service);
    }
    for (const auto& it : registered.records) {
        records.emplace(it.record.order.service, &it);
        plan_of(it.record.order.service);
    }
    const auto era = registered.as_of.era;
    for (auto& [service, plan] : plans_) {
        const auto order = orders.find(service);
        const auto record = records.find(service);
        const auto has_order = order != orders.end();
        const auto has_record = record != records.end();
        plan.set_registered(has_order ? &order->second->order : nullptr,
                            {era, has_order ? order->second->revision : 0},
                            has_record ? &record->second->record : nullptr,
                            {era, has_record ? record->second->revision : 0}, registered.as_of, now);
    }
}

void rollout_table::set_endpoints(std::span<const endpoint_record> records)
{
    endpoints_.assign(records.begin(), records.end());
    for (auto& [service, plan] : plans_) {
        std::vector<const endpoint_record*> own;
        for (const auto& it : endpoints_) {
            if (it.service == service) {
                own.push_back(&it);
            }
        }
        plan.set_endpoints(own);
    }
}

rollout_plan* rollout_table::find(std::string_view service)
{
    const auto it = plans_.find(service);
    return it == plans_.end() ? nullptr : &it->second;
}

const rollout_plan* rollout_table::find(std::string_view service) const
{
    const auto it = plans_.find(service);
    return it == plans_.end() ? nullptr : &it->second;
}

counted_answer rollout_table::note_answered(const endpoint_record& endpoint, std::string_view route,
                                            double time, bool is_cold)
{
    auto* plan = find(endpoint.service);
    if (plan == nullptr || !plan->is_comparing()) {
        return counted_answer::none;
    }
    const auto is_new = endpoint.software_version == plan->order()->version;
    const auto is_bad = !is_cold && is_slow(endpoint, route, time);
    if (!is_new && !is_cold) {
        speeds_[endpoint.service].note(route, time);
    }
    plan->note_answer(endpoint, route, is_bad);
    return is_bad ? counted_answer::bad : counted_answer::good;
}

void rollout_table::note_failed(const endpoint_record& endpoint, std::string_view route,
                                counted_answer before)
{
    auto* plan = find(endpoint.service);
    if (plan != nullptr && before != counted_answer::bad) {
        plan->note_answer(endpoint, route, true, before == counted_answer::good);
    }
}

bool rollout_table::is_slow(const endpoint_record& endpoint, std::string_view route, double time) const
{
    const auto it = speeds_.find(endpoint.service);
    return it != speeds_.end() && it->second.is_slow(route, time);
}

void rollout_table::apply_report(const rollout_report& report, instant now)
{
    for (const auto& it : report.services) {
        if (auto* plan = find(it.order.service)) {
            plan->apply_report(report.gateway, it, now);
        }
    }
}

rollout_report rollout_table::create_report(instant now) const
{
    rollout_report out{gateway_, {}};
    for (const auto& [service, plan] : plans_) {
        if (auto it = plan.create_report(now)) {
            out.services.push_back(*std::move(it));
        }
    }
    return out;
}

std::vector<std::string> rollout_table::judges(instant now) const
{
    std::vector<std::string> out;
    for (const auto& [service, plan] : plans_) {
        if (plan.create_report(now)) {
            std::ranges::move(roster_.first_for(service, max_judges), std::back_inserter(out));
        }
    }
    std::ranges::sort(out);
    out.erase(std::unique(out.begin(), out.end()), out.end());
    std::erase(out, gateway_);
    return out;
}

void rollout_table::update(instant now)
{
    if (plans_.empty() || now < next_update_) {
        return;
    }
    next_update_ = now + update_interval;
    for (auto& [service, plan] : plans_) {
        plan.update(roster_.rank_for(service) < max_judges, now);
    }
}

instant rollout_table::next_due() const
{
    const auto is_active =
        std::ranges::any_of(plans_, [](const auto& it) { return it.second.is_comparing(); });
    return is_active ? next_update_ : instant::max();
}

std::vector<rollout_write> rollout_table::take_writes(instant now)
{
    std::vector<rollout_write> out;
    for (auto& [service, plan] : plans_) {
        if (auto it = plan.take_write(roster_.rank_for(service), now)) {
            out.push_back(*std::move(it));
        }
    }
    return out;
}

void rollout_table::note_written(const rollout_record& record, rollout_position at, instant now)
{
    if (auto* plan = find(record.order.service)) {
        plan->note_written(record, at, now);
    }
}

bool rollout_table::take_urgency()
{
    bool out = false;
    for (auto& [service, plan] : plans_) {
        out = plan.take_urgency() || out;
    }
    return out;
}

std::vector<log_effect> rollout_table::take_log_records()
{
    std::vector<log_effect> out;
    for (auto& [service, plan] : plans_) {
        std::ranges::move(plan.take_log_records(), std::back_inserter(out));
    }
    return out;
}

} // namespace hemlocknotch::gateway
