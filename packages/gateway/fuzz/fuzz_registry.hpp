#pragma once

#include <hemlocknotch/gateway/registry_contact.hpp>
#include <hemlocknotch/gateway/registry_view.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway {

/// Several views of a registry that is away, out of reach for some of them, and restored from older copies at
/// random, with an oracle that knows when and in which order everything really happened. Used by one thread.
class fuzz_registry {
public:
    explicit fuzz_registry(std::uint64_t seed);
    ~fuzz_registry();
    fuzz_registry(const fuzz_registry&) = delete;
    fuzz_registry(fuzz_registry&&) = delete;
    fuzz_registry& operator=(const fuzz_registry&) = delete;
    fuzz_registry& operator=(fuzz_registry&&) = delete;

    /// Performs one random event. Throws `invariant_violation`.
    void step();

    /// Lets all writers write again and all views read, and checks that they agree with what was written.
    void settle();

    [[nodiscard]] std::uint64_t restores() const { return restores_; }

private:
    enum class endpoint_phase : std::uint8_t { absent, ready, draining };

    /// What the writers last wrote. Stamps number all writes in their real order.
    struct truth {
        std::map<std::string, endpoint_phase> endpoints;
        std::map<std::string, std::uint64_t> started_at_ms;
        std::map<std::string, std::uint64_t> last_ready;
        std::map<std::string, bool> out_of_service;
        std::uint64_t configuration_version = 1;
    };

    struct stored_item {
        std::uint64_t revision = 0;
        std::uint64_t stamp = 0;
        registry_item item;
    };

    struct stored_change {
        std::uint64_t revision = 0;
        std::uint64_t stamp = 0;
        std::string key;
        bool is_removed = false;
        registry_item item;
    };

    /// The state of the registry, which a copy retains.
    struct stored_state {
        std::map<std::string, stored_item> items;
        std::vector<stored_change> history;
        std::uint64_t revision = 0;
        /// Revision up to which the history is forgotten.
        std::uint64_t compacted = 0;
    };

    struct observer;

    void write_endpoint(const std::string& name, endpoint_phase phase);
    void write_domain(const std::string& domain, bool is_out);
    void write_configuration();
    /// Writes what the writer of `key` wrote last.
    void write_again(const std::string& key);
    void add_change(stored_change change);
    void put(const std::string& key, registry_item item);
    void erase(const std::string& key);
    void restore();
    void begin_outage();
    /// Lets registrations lapse, most of them of endpoints that register again.
    void end_outage();
    /// Tells the contact and the view of `it` that a read was answered.
    void note_answered(observer& it);
    /// Lets `it` weigh what `other` states of the registry's answers.
    void tell(observer& it, const observer& other);
    void read(observer& it, bool is_full);
    void learn_from(observer& it, const observer& other);
    void replace(observer& it, std::span<const registry_change> changes, std::uint64_t revision);
    void note_delivered(observer& it, const std::string& key, const stored_change& change) const;
    /// Lets the view handle what is due.
    void pass_time(observer& it) const;
    void check(const observer& it) const;
    [[nodiscard]] registry_item item_of(const std::string& key) const;

    [[nodiscard]] bool chance(unsigned percent) { return random_() % 100 < percent; }

    std::mt19937_64 random_;
    instant now_{std::chrono::seconds{1000}};
    truth truth_;
    stored_state state_;
    stored_state copy_;
    std::set<std::string> written_since_copy_;
    /// Keys that are lost until their writers write them again, by the time at which they do.
    std::list<std::pair<instant, std::string>> lost_;
    std::uint64_t era_ = 1;
    std::uint64_t last_stamp_ = 0;
    std::uint64_t restores_ = 0;
    bool is_down_ = false;
    instant down_at_{};
    /// Living endpoints of which the registration lapsed in the last outage and is not yet written again.
    std::set<std::string> lapsed_;
    std::vector<std::unique_ptr<observer>> observers_;
};

} // namespace hemlocknotch::gateway
