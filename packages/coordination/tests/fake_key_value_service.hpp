#pragma once

#include <hemlocknotch/coordination/key_value_service.hpp>

#include <cassert>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hemlocknotch {

/// Fault injected into one call of a fake key-value service.
enum class fake_fault : std::uint8_t {
    none,
    /// The service refuses the call, as for an exceeded rate limit, and it has no effect.
    refused,
    /// The call does not reach the service.
    call_lost,
    /// The call takes effect, but its answer is lost.
    answer_lost,
    /// The call ends as `unknown` and takes effect after that.
    late,
};

/// The keys and values of a fake service, which several clients share.
class fake_store {
public:
    struct entry {
        std::string value;
        std::uint64_t version = 0;
    };

    [[nodiscard]] store_answer get(const std::string& key) const
    {
        const auto it = entries_.find(key);
        if (it == entries_.end()) {
            return {store_status::absent, "", 0};
        }
        return {store_status::ok, it->second.value, it->second.version};
    }

    store_answer compare_and_swap(const std::string& key, std::uint64_t expected, const std::string& value)
    {
        const store_answer current = get(key);
        if (current.version != expected) {
            return {store_status::conflict, current.value, current.version};
        }
        entries_[key] = {value, ++last_version_};
        writes_.emplace_back(key, value);
        return {store_status::ok, value, last_version_};
    }

    store_answer remove(const std::string& key, std::uint64_t expected)
    {
        const store_answer current = get(key);
        if (current.status == store_status::absent || current.version != expected) {
            return {current.status == store_status::absent ? store_status::absent : store_status::conflict,
                    current.value, current.version};
        }
        entries_.erase(key);
        return {store_status::ok, "", 0};
    }

    std::uint64_t next_lease() { return ++last_lease_; }

    [[nodiscard]] const std::map<std::string, entry>& entries() const { return entries_; }

    /// Returns all writes that took effect, in order.
    [[nodiscard]] const std::vector<std::pair<std::string, std::string>>& writes() const { return writes_; }

private:
    std::map<std::string, entry> entries_;
    std::uint64_t last_version_ = 0;
    std::uint64_t last_lease_ = 0;
    std::vector<std::pair<std::string, std::string>> writes_;
};

/// A client of a `fake_store` that a test advances step by step. Each call takes two steps: it takes effect,
/// and its callback is called. With `fake_fault::late` the callback comes first.
class fake_key_value_service final : public key_value_service {
public:
    /// Returns the fault for the next call.
    using fault_plan = std::function<fake_fault()>;

    explicit fake_key_value_service(fake_store& store) : store_{store} {}

    void set_fault_plan(fault_plan plan) { plan_ = std::move(plan); }

    /// Returns the number of calls with a step left.
    [[nodiscard]] std::size_t pending_count() const { return pending_.size(); }

    /// Takes the next step of the pending call at index `n`.
    void step(std::size_t n)
    {
        assert(n < pending_.size());
        pending& call = pending_[n];
        const bool is_answer_first = call.fault == fake_fault::late;
        if (!std::exchange(call.is_started, true)) {
            if (is_answer_first) {
                std::exchange(call.done, {})({});
                return;
            }
            call.answer = perform(call);
            return;
        }
        pending ended = std::move(call);
        pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(n));
        if (is_answer_first) {
            ended.effect();
            return;
        }
        ended.done(ended.answer);
    }

    /// Takes steps until no call is pending.
    void run()
    {
        while (!pending_.empty()) {
            step(0);
        }
    }

    void get(std::string_view key, callback done) override
    {
        add([this, key = std::string{key}] { return store_.get(key); }, std::move(done));
    }

    void compare_and_swap(std::string_view key, std::uint64_t expected, std::string_view value,
                          std::uint64_t /*lease*/, callback done) override
    {
        add([this, key = std::string{key}, expected,
             value = std::string{value}] { return store_.compare_and_swap(key, expected, value); },
            std::move(done));
    }

    void remove(std::string_view key, std::uint64_t expected, callback done) override
    {
        add([this, key = std::string{key}, expected] { return store_.remove(key, expected); },
            std::move(done));
    }

    void watch(std::string_view key, std::uint64_t /*known*/, duration /*limit*/, callback done) override
    {
        get(key, std::move(done));
    }

    void grant_lease(duration /*time_to_live*/, callback done) override
    {
        add([this] { return store_answer{store_status::ok, "", store_.next_lease()}; }, std::move(done));
    }

    void keep_lease(std::uint64_t lease, callback done) override
    {
        add([lease] { return store_answer{store_status::ok, "", lease}; }, std::move(done));
    }

    [[nodiscard]] std::uint64_t call_count() const override { return call_count_; }

private:
    struct pending {
        std::function<store_answer()> effect;
        callback done;
        fake_fault fault = fake_fault::none;
        bool is_started = false;
        store_answer answer;
    };

    static store_answer perform(const pending& call)
    {
        switch (call.fault) {
        case fake_fault::none:
            return call.effect();
        case fake_fault::refused:
            return {store_status::refused, "", 0};
        case fake_fault::answer_lost:
            call.effect();
            return {};
        case fake_fault::call_lost:
        case fake_fault::late:
            return {};
        }
        return {};
    }

    void add(std::function<store_answer()> effect, callback done)
    {
        ++call_count_;
        const fake_fault fault = plan_ ? plan_() : fake_fault::none;
        pending_.push_back({std::move(effect), std::move(done), fault, false, {}});
    }

    fake_store& store_;
    fault_plan plan_;
    std::vector<pending> pending_;
    std::uint64_t call_count_ = 0;
};

} // namespace hemlocknotch
