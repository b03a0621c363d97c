#include "fuzz_registry.hpp"

#include "fuzz_registry_observer.hpp"
#include "invariant_violation.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace hemlocknotch::gateway {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t endpoint_count = 6;
constexpr std::size_t domain_count = 2;
constexpr std::size_t observer_count = 4;
constexpr std::string_view domain_prefix = "o/";
constexpr std::string_view configuration_key = "c";
/// Time within which everything that a restore has lost is written again.
constexpr milliseconds longest_rewrite{3000};
constexpr milliseconds shortest_outage{2000};

std::string name_of(std::string_view key)
{
    return std::string{key.substr(endpoint_prefix.size())};
}

} // namespace

fuzz_registry::fuzz_registry(std::uint64_t seed) : random_{seed}
{
    write_configuration();
    for (std::size_t n = 0; n < endpoint_count; ++n) {
        write_endpoint(std::to_string(n), endpoint_phase::ready);
    }
    for (std::size_t n = 0; n < observer_count; ++n) {
        observers_.push_back(std::make_unique<observer>(now_));
        read(*observers_.back(), true);
    }
    copy_ = state_;
    written_since_copy_.clear();
}

fuzz_registry::~fuzz_registry() = default;

void fuzz_registry::step()
{
    now_ += milliseconds{random_() % 200};
    while (!is_down_ && !lost_.empty() && lost_.front().first <= now_) {
        const auto key = lost_.front().second;
        lost_.pop_front();
        write_again(key);
    }
    auto& it = *observers_[random_() % observers_.size()];
    const auto name = std::to_string(random_() % endpoint_count);
    constexpr std::uint64_t last_write = 6;
    const auto event = random_() % 20;
    switch (is_down_ && event <= last_write ? std::uint64_t{7} : event) {
    case 0:
    case 1:
        if (truth_.endpoints[name] != endpoint_phase::absent) {
            write_again(std::string{endpoint_prefix} + name);
        }
        break;
    case 2:
        write_endpoint(name, static_cast<endpoint_phase>(random_() % 3));
        break;
    case 3:
        write_domain(std::to_string(random_() % domain_count), chance(50));
        break;
    case 4:
        write_configuration();
        break;
    case 5:
        copy_ = state_;
        written_since_copy_.clear();
        break;
    case 6:
        if (chance(25)) {
            restore();
        }
        break;
    case 7:
        learn_from(it, *observers_[random_() % observers_.size()]);
        break;
    case 8:
        if (is_down_ && now_ - down_at_ >= shortest_outage) {
            end_outage();
        }
        else if (!is_down_ && chance(10)) {
            begin_outage();
        }
        break;
    case 9:
        it.is_cut = it.is_cut ? chance(40) : chance(25);
        break;
    case 10:
    case 11:
    case 12:
        tell(it, *observers_[random_() % observers_.size()]);
        break;
    default:
        read(it, chance(10));
    }
    for (const auto& each : observers_) {
        pass_time(*each);
        check(*each);
    }
}

void fuzz_registry::settle()
{
    if (is_down_) {
        end_outage();
    }
    for (const auto& it : observers_) {
        it->is_cut = false;
    }
    for (const auto& [at, key] : std::exchange(lost_, {})) {
        write_again(key);
    }
    for (const auto& it : observers_) {
        read(*it, false);
    }
    for (const auto& [name, phase] : truth_.endpoints) {
        if (phase != endpoint_phase::absent) {
            write_again(std::string{endpoint_prefix} + name);
        }
    }
    now_ += registry_view::out_of_service_hold;
    std::set<std::string> ready;
    for (const auto& [name, phase] : truth_.endpoints) {
        if (phase == endpoint_phase::ready) {
            ready.insert(name);
        }
    }
    std::set<std::string, std::less<>> out;
    for (const auto& [domain, is_out] : truth_.out_of_service) {
        if (is_out) {
            out.insert(domain);
        }
    }
    for (const auto& it : observers_) {
        read(*it, true);
        now_ += registry_view::out_of_service_hold;
        pass_time(*it);
        std::set<std::string> used;
        for (const auto& endpoint : it->view.endpoints()) {
            if (!endpoint.is_draining) {
                used.insert(endpoint.instance);
            }
        }
        if (used != ready) {
            throw invariant_violation{"a settled view uses other endpoints than are ready"};
        }
        if (it->view.out_of_service() != out) {
            throw invariant_violation{"a settled view has other failure domains out of service"};
        }
        if (it->view.configuration_version() != truth_.configuration_version) {
            throw invariant_violation{"a settled view has another configuration"};
        }
        check(*it);
    }
}

void fuzz_registry::write_endpoint(const std::string& name, endpoint_phase phase)
{
    const auto before = std::exchange(truth_.endpoints[name], phase);
    if (before != endpoint_phase::ready && phase == endpoint_phase::ready && chance(50)) {
        ++truth_.started_at_ms[name];
    }
    write_again(std::string{endpoint_prefix} + name);
}

void fuzz_registry::write_domain(const std::string& domain, bool is_out)
{
    truth_.out_of_service[domain] = is_out;
    write_again(std::string{domain_prefix} + domain);
}

void fuzz_registry::write_configuration()
{
    ++truth_.configuration_version;
    write_again(std::string{configuration_key});
}

registry_item fuzz_registry::item_of(const std::string& key) const
{
    if (key == configuration_key) {
        routing_document document;
        document.version = truth_.configuration_version;
        return configuration_item{std::make_shared<const routing_configuration>(std::move(document))};
    }
    if (key.starts_with(domain_prefix)) {
        return out_of_service_item{name_of(key)};
    }
    const auto name = name_of(key);
    const auto started = truth_.started_at_ms.find(name);
    return endpoint_item{{.instance = name,
                          .service = "s",
                          .address = *endpoint_address::parse("127.0.0.1:80"),
                          .failure_domain = "d",
                          .slots = 1,
                          .is_draining = truth_.endpoints.at(name) == endpoint_phase::draining,
                          .cold_remaining = {},
                          .started_at_ms = started == truth_.started_at_ms.end() ? 0 : started->second,
                          .software_version = "v1"}};
}

void fuzz_registry::write_again(const std::string& key)
{
    written_since_copy_.insert(key);
    ++last_stamp_;
    if (key.starts_with(endpoint_prefix)) {
        lapsed_.erase(name_of(key));
        const auto phase = truth_.endpoints.at(name_of(key));
        if (phase == endpoint_phase::ready) {
            truth_.last_ready[name_of(key)] = last_stamp_;
        }
        return phase == endpoint_phase::absent ? erase(key) : put(key, item_of(key));
    }
    if (key.starts_with(domain_prefix) && !truth_.out_of_service.at(name_of(key))) {
        return erase(key);
    }
    put(key, item_of(key));
}

void fuzz_registry::add_change(stored_change change)
{
    constexpr std::size_t longest_history = 200;
    auto& history = state_.history;
    if (history.size() == longest_history) {
        state_.compacted = history[longest_history / 2].revision;
        history.erase(history.begin(), history.begin() + longest_history / 2 + 1);
    }
    history.push_back(std::move(change));
}

void fuzz_registry::put(const std::string& key, registry_item item)
{
    ++state_.revision;
    add_change({state_.revision, last_stamp_, key, false, item});
    state_.items[key] = {state_.revision, last_stamp_, std::move(item)};
}

void fuzz_registry::erase(const std::string& key)
{
    if (state_.items.erase(key) > 0) {
        add_change({++state_.revision, last_stamp_, key, true, unreadable_item{}});
    }
}

void fuzz_registry::restore()
{
    ++era_;
    ++restores_;
    lapsed_.clear();
    state_ = copy_;
    for (const auto& key : std::exchange(written_since_copy_, {})) {
        lost_.emplace_back(now_ + milliseconds{random_() % longest_rewrite.count()}, key);
    }
    lost_.sort([](const auto& a, const auto& b) { return a.first < b.first; });
}

void fuzz_registry::read(observer& it, bool is_full)
{
    if (is_down_ || it.is_cut) {
        it.failed_since = std::min(it.failed_since, now_);
        return;
    }
    const auto is_new_era = it.view.era() != era_;
    std::vector<registry_change> changes;
    if (is_new_era) {
        it.begin_era(era_, now_);
    }
    note_answered(it);
    if (is_full || is_new_era || it.view.revision() < state_.compacted) {
        for (const auto& [key, item] : state_.items) {
            changes.push_back({key, item.revision, false, item.item, ""});
            note_delivered(it, key, {item.revision, item.stamp, key, false, item.item});
        }
        return replace(it, changes, state_.revision);
    }
    for (const auto& change : state_.history) {
        if (change.revision > it.view.revision()) {
            changes.push_back({change.key, change.revision, change.is_removed, change.item, ""});
            note_delivered(it, change.key, change);
        }
    }
    it.view.apply(changes, state_.revision, now_);
}

void fuzz_registry::learn_from(observer& it, const observer& other)
{
    if (&it == &other || it.is_cut || other.is_cut || other.view.position() <= it.view.position()) {
        return;
    }
    std::vector<registry_change> changes;
    for (const auto& reported : other.view.snapshot()) {
        const auto stored = state_.items.find(reported.key);
        const auto is_current = other.view.era() == era_ && stored != state_.items.end() &&
                                stored->second.revision == reported.revision;
        // Only what the registry still holds can be decoded here.
        if (!is_current) {
            return;
        }
        changes.push_back({reported.key, reported.revision, false, stored->second.item, ""});
    }
    if (it.view.era() != era_) {
        it.begin_era(era_, now_);
    }
    tell(it, other);
    for (const auto& change : changes) {
        const auto& stored = state_.items.at(change.key);
        note_delivered(it, change.key, {stored.revision, stored.stamp, change.key, false, stored.item});
    }
    replace(it, changes, other.view.revision());
}

void fuzz_registry::replace(observer& it, std::span<const registry_change> changes, std::uint64_t revision)
{
    it.view.replace(changes, revision, now_);
    std::erase_if(it.out_of_service, [&](const auto& domain) {
        const auto key = std::string{domain_prefix} + domain.first;
        return domain.second == era_ &&
               std::ranges::find(changes, key, &registry_change::key) == changes.end();
    });
}

void fuzz_registry::note_delivered(observer& it, const std::string& key, const stored_change& change) const
{
    if (key.starts_with(endpoint_prefix)) {
        const auto* endpoint = std::get_if<endpoint_item>(&change.item);
        auto& last = it.departures[name_of(key)];
        if (change.stamp > last.stamp &&
            (change.is_removed || (endpoint != nullptr && endpoint->record.is_draining))) {
            last = {change.stamp, change.is_removed};
        }
    }
    else if (key.starts_with(domain_prefix)) {
        if (change.is_removed) {
            it.out_of_service.erase(name_of(key));
        }
        else {
            it.out_of_service[name_of(key)] = era_;
        }
    }
    else if (const auto* configuration = std::get_if<configuration_item>(&change.item)) {
        it.highest_version = std::max(it.highest_version, configuration->configuration->version());
    }
}

void fuzz_registry::pass_time(observer& it) const
{
    it.view.on_timer(now_);
    if (now_ - it.era_began_at >= registry_view::out_of_service_hold) {
        std::erase_if(it.out_of_service, [&](const auto& domain) { return domain.second < it.view.era(); });
    }
}

void fuzz_registry::check(const observer& it) const
{
    if (it.view.configuration_version() < it.highest_version) {
        throw invariant_violation{"a configuration in force was replaced by an older version"};
    }
    for (const auto& endpoint : it.view.endpoints()) {
        const auto departure = it.departures.find(endpoint.instance);
        const auto ready = truth_.last_ready.find(endpoint.instance);
        // A removal after an outage may be a registration that lapsed, and takes effect later.
        if (endpoint.is_draining || departure == it.departures.end() ||
            (departure->second.is_removal && now_ < it.may_hold_until)) {
            continue;
        }
        if (ready == truth_.last_ready.end() || ready->second < departure->second.stamp) {
            throw invariant_violation{"endpoint " + endpoint.instance + " is used after it drained or left"};
        }
    }
    for (const auto& name : it.kept) {
        const auto used = it.view.endpoints();
        if (lapsed_.contains(name) &&
            std::ranges::find(used, name, &endpoint_record::instance) == used.end()) {
            throw invariant_violation{"endpoint " + name + " is not used though it lapsed in an outage only"};
        }
    }
    const auto out = it.view.out_of_service();
    for (const auto& [domain, era] : it.out_of_service) {
        const auto is_out = truth_.out_of_service.find(domain);
        if (is_out != truth_.out_of_service.end() && is_out->second && !out.contains(domain) &&
            now_ - it.era_began_at < registry_view::out_of_service_hold) {
            throw invariant_violation{"failure domain " + domain + " is back in service too early"};
        }
    }
}

} // namespace hemlocknotch::gateway
