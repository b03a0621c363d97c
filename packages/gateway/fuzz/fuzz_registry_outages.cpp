#include "fuzz_registry_observer.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace hemlocknotch::gateway {
namespace {

using std::chrono::milliseconds;

/// Time within which living endpoints register again after an outage.
constexpr milliseconds longest_registration{2000};

} // namespace

void fuzz_registry::begin_outage()
{
    is_down_ = true;
    down_at_ = now_;
    lapsed_.clear();
    for (const auto& it : observers_) {
        it->kept.clear();
    }
}

void fuzz_registry::end_outage()
{
    is_down_ = false;
    for (auto& [name, phase] : truth_.endpoints) {
        const auto key = std::string{endpoint_prefix} + name;
        if (phase != endpoint_phase::ready || !state_.items.contains(key) || chance(50)) {
            continue;
        }
        written_since_copy_.insert(key);
        ++last_stamp_;
        erase(key);
        if (chance(20)) {
            phase = endpoint_phase::absent;
            continue;
        }
        lapsed_.insert(name);
        lost_.emplace_back(now_ + milliseconds{random_() % longest_registration.count()}, key);
    }
    lost_.sort([](const auto& a, const auto& b) { return a.first < b.first; });
}

void fuzz_registry::note_answered(observer& it)
{
    const auto has_seen_outage = it.failed_since >= down_at_ && it.failed_since != instant::max() &&
                                 now_ - it.failed_since >= registry_contact::outage_threshold;
    if (has_seen_outage) {
        std::set<std::string> used;
        for (const auto& endpoint : it.view.endpoints()) {
            if (!endpoint.is_draining) {
                used.insert(endpoint.instance);
            }
        }
        // What is only held back since an earlier outage is not kept for another one.
        for (const auto& registered : it.view.snapshot()) {
            const auto name = registered.key.substr(std::min(registered.key.size(), endpoint_prefix.size()));
            if (lapsed_.contains(name) && used.contains(name)) {
                it.kept.insert(name);
            }
        }
    }
    if (it.failed_since != instant::max()) {
        it.excuse(now_);
    }
    else if (now_ - it.last_read >= observer::max_silence) {
        it.unbroken_since = now_;
    }
    if (it.contact.note_read(std::exchange(it.failed_since, instant::max()), now_, now_)) {
        it.view.on_registry_recovered(now_);
    }
    it.last_read = now_;
    it.as_of = now_;
}

void fuzz_registry::tell(observer& it, const observer& other)
{
    if (&it == &other || it.is_cut || other.is_cut || it.view.era() != other.view.era()) {
        return;
    }
    const auto since = other.contact.answering_since();
    const auto has_grace = other.view.remaining_grace(now_) > duration::zero();
    const auto has_seen_outage = has_grace || it.failed_since != instant::max();
    if (has_seen_outage && other.as_of - it.as_of >= observer::max_silence) {
        it.excuse(now_);
    }
    if (other.last_read >= std::max(it.last_read, it.may_hold_from)) {
        it.may_hold_until =
            std::min(it.may_hold_until, other.unbroken_since + registry_view::reregistration_grace);
    }
    if (it.contact.note_statement(since, other.as_of, has_seen_outage)) {
        it.view.on_registry_recovered(since);
    }
    it.view.limit_grace(it.contact.answering_since());
    it.as_of = std::max(it.as_of, other.as_of);
}

} // namespace hemlocknotch::gateway
