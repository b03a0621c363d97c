#include <hemlocknotch/core/service_ledger.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace hemlocknotch {

service_ledger::service_ledger(process_identity own, std::size_t max_sources)
    : own_{std::move(own)}, max_sources_{max_sources}
{
    assert(max_sources_ >= 1);
}

void service_ledger::charge(account_key client_account, double units)
{
    if (units == 0.0) {
        return;
    }
    source& own = sources_[own_];
    charge_record& it = own.records[client_account];
    ++it.sequence;
    it.charged += units;
    it.is_changed = true;
    own.last_change = ++change_count_;
    totals_[client_account] += units;
    own_charge_since_report_[client_account] += units;
}

bool service_ledger::merge(const service_report_message& report)
{
    bool is_any_new = false;
    for (const service_source& told : report.sources) {
        if (told.agent == own_) {
            continue;
        }
        for (const service_item& item : told.items) {
            source& known = sources_[told.agent];
            charge_record& it = known.records[item.client_account];
            if (item.sequence <= it.sequence) {
                continue;
            }
            totals_[item.client_account] += item.charged - it.charged;
            it = charge_record{item.sequence, item.charged, true};
            known.last_change = ++change_count_;
            is_any_new = true;
        }
    }
    is_any_new = merge_counter_floors(report.counter_floors) || is_any_new;
    while (sources_.size() > max_sources_) {
        drop_oldest_source();
    }
    return is_any_new;
}

bool service_ledger::merge_counter_floors(std::span<const counter_floor_item> counter_floors)
{
    bool is_any_new = false;
    for (const counter_floor_item& item : counter_floors) {
        counter_floor& it = counter_floors_[item.client_account];
        if (item.counter_floor > it.amount) {
            it = counter_floor{item.counter_floor, true};
            is_any_new = true;
        }
    }
    return is_any_new;
}

void service_ledger::merge_totals(std::string_view entry, const service_totals_message& value)
{
    auto& totals = totals_by_entry_[std::string{entry}];
    for (const total_item& it : value.items) {
        totals[it.client_account] = static_cast<double>(it.charged);
    }
    merge_counter_floors(value.counter_floors);
}

std::vector<total_item> service_ledger::totals_excluding(const process_identity& receiver) const
{
    const auto own = sources_.find(receiver);
    std::vector<total_item> items;
    items.reserve(totals_.size());
    for (const auto& [client_account, total] : totals_) {
        double charged = total;
        if (own != sources_.end()) {
            const auto it = own->second.records.find(client_account);
            charged -= it == own->second.records.end() ? 0.0 : it->second.charged;
        }
        const auto units = static_cast<std::uint64_t>(std::max(0.0, std::round(charged)));
        if (units > 0) {
            items.push_back({client_account, units});
        }
    }
    return items;
}

std::vector<counter_floor_item> service_ledger::counter_floors() const
{
    std::vector<counter_floor_item> items;
    items.reserve(counter_floors_.size());
    for (const auto& [client_account, it] : counter_floors_) {
        items.push_back({client_account, it.amount});
    }
    return items;
}

void service_ledger::raise_to(account_key client_account, double weight, double floor)
{
    assert(weight > 0.0);
    const double missing = (floor - counter(client_account, weight)) * weight;
    if (missing <= 0.0) {
        return;
    }
    counter_floor& it = counter_floors_[client_account];
    it.amount += missing;
    it.is_changed = true;
}

double service_ledger::counter(account_key client_account, double weight) const
{
    assert(weight > 0.0);
    const auto raised = counter_floors_.find(client_account);
    const double amount = raised == counter_floors_.end() ? 0.0 : raised->second.amount;
    return (charged_to(client_account) + amount) / weight;
}

double service_ledger::charged_to(account_key client_account) const
{
    const auto total = totals_.find(client_account);
    const double by_sources = total == totals_.end() ? 0.0 : total->second;
    double others = 0.0;
    for (const auto& [entry, totals] : totals_by_entry_) {
        const auto it = totals.find(client_account);
        others = std::max(others, it == totals.end() ? 0.0 : it->second);
    }
    return std::max(by_sources, own_counter(client_account, 1.0) + others);
}

double service_ledger::own_counter(account_key client_account, double weight) const
{
    assert(weight > 0.0);
    const auto own = sources_.find(own_);
    if (own == sources_.end()) {
        return 0.0;
    }
    const auto it = own->second.records.find(client_account);
    return it == own->second.records.end() ? 0.0 : it->second.charged / weight;
}

double service_ledger::own_charge_since_report(account_key client_account) const
{
    const auto it = own_charge_since_report_.find(client_account);
    return it == own_charge_since_report_.end() ? 0.0 : it->second;
}

service_report_message service_ledger::take_changes(account_key service)
{
    service_report_message report{service, {}, {}};
    for (auto& [agent, known] : sources_) {
        service_source told{agent, {}};
        for (auto& [client_account, it] : known.records) {
            if (std::exchange(it.is_changed, false)) {
                told.items.push_back({client_account, it.sequence, it.charged});
            }
        }
        if (!told.items.empty()) {
            report.sources.push_back(std::move(told));
        }
    }
    for (auto& [client_account, it] : counter_floors_) {
        if (std::exchange(it.is_changed, false)) {
            report.counter_floors.push_back({client_account, it.amount});
        }
    }
    own_charge_since_report_.clear();
    return report;
}

service_report_message service_ledger::full_report(account_key service) const
{
    service_report_message report{service, {}, {}};
    for (const auto& [agent, known] : sources_) {
        service_source told{agent, {}};
        for (const auto& [client_account, it] : known.records) {
            told.items.push_back({client_account, it.sequence, it.charged});
        }
        report.sources.push_back(std::move(told));
    }
    report.counter_floors = counter_floors();
    return report;
}

void service_ledger::drop_oldest_source()
{
    const auto is_older = [this](const auto& left, const auto& right) {
        const bool is_left_own = left.first == own_;
        const bool is_right_own = right.first == own_;
        if (is_left_own != is_right_own) {
            return is_right_own;
        }
        return left.second.last_change < right.second.last_change;
    };
    const auto oldest = std::min_element(sources_.begin(), sources_.end(), is_older);
    assert(oldest != sources_.end());
    for (const auto& [client_account, it] : oldest->second.records) {
        totals_[client_account] -= it.charged;
    }
    sources_.erase(oldest);
}

} // namespace hemlocknotch
