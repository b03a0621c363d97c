#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/standins/event_loop.hpp>
#include <hemlocknotch/standins/http_server.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::standins {

/// Faults of the store that can be switched on.
struct platform_store_faults {
    /// Calls are refused with this status; 0: none are.
    int refuses_with = 0;
    /// Calls get no answer.
    bool is_silent = false;
    /// Conditional writes are done, and their answers lost.
    bool loses_write_answers = false;
};

/// Stand-in of the users' store: keys, ranges, watches, conditional writes and leases over HTTP. One thread.
class platform_store {
public:
    /// Listens at `address`. Throws std::runtime_error where it cannot. `base` must outlive it.
    platform_store(event_base* base, const endpoint_address& address);
    ~platform_store();
    platform_store(const platform_store&) = delete;
    platform_store(platform_store&&) = delete;
    platform_store& operator=(const platform_store&) = delete;
    platform_store& operator=(platform_store&&) = delete;

    [[nodiscard]] const endpoint_address& address() const { return server_.address(); }

    /// Writes or removes a key as its operators and endpoints do.
    void put(const std::string& key, const std::string& value, std::uint64_t lease = 0);
    void remove(const std::string& key);
    /// Forgets all changes up to now, so that watches from before are told that history is lost.
    void compact();

    /// Takes a copy of the complete state, to which `restore` goes back.
    void take_copy();
    /// Restores the last copy: every write and lease since then is lost, revisions and lease numbers are
    /// assigned again, and the era rises by one. Does nothing where there is no copy.
    void restore();
    /// Writes again what operators and endpoints wrote between the last copy and the restore: the last state
    /// of each key, unless they have written the key since.
    void rewrite_lost();

    [[nodiscard]] std::uint64_t era() const { return era_; }

    [[nodiscard]] std::uint64_t revision() const { return revision_; }

    /// Returns the value of `key`; empty where it does not exist.
    [[nodiscard]] std::string value_of(const std::string& key) const
    {
        const auto it = items_.find(key);
        return it == items_.end() ? std::string{} : it->second.value;
    }

    /// Returns whether `key` exists.
    [[nodiscard]] bool contains(const std::string& key) const { return items_.contains(key); }

    platform_store_faults faults;

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct change {
        std::uint64_t revision = 0;
        std::string key;
        bool is_removed = false;
        item written;
    };

    /// The state that a restore goes back to.
    struct copy {
        std::map<std::string, item> items;
        std::vector<change> history;
        std::uint64_t revision = 0;
        std::uint64_t compacted = 0;
        std::map<std::uint64_t, std::uint64_t> lease_times;
        std::uint64_t last_lease = 0;
    };

    struct watch {
        std::uint64_t number = 0;
        http_request request;
        std::string prefix;
        std::uint64_t after = 0;
        std::unique_ptr<timer> limit;
    };

    void write(const std::string& key, const std::string& value, std::uint64_t lease);
    void erase(const std::string& key);
    void start_lease(std::uint64_t lease, std::uint64_t time_to_live_ms);
    void on_request(const http_request& request);
    void on_range(const http_request& request) const;
    void on_watch(const http_request& request);
    void on_write(const http_request& request);
    void on_lease(const http_request& request);
    void answer_watches();
    bool answer_watch(const http_request& request, std::string_view prefix, std::uint64_t after,
                      bool is_due) const;
    void end_lease(std::uint64_t lease);
    static nlohmann::json describe(const std::string& key, const item& value);

    event_base* base_;
    http_server server_;
    std::map<std::string, item> items_;
    std::vector<change> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t compacted_ = 0;
    std::map<std::uint64_t, std::unique_ptr<timer>> leases_;
    std::map<std::uint64_t, std::uint64_t> lease_times_;
    std::uint64_t last_lease_ = 0;
    std::uint64_t last_watch_ = 0;
    std::vector<std::unique_ptr<watch>> watches_;
    std::uint64_t era_ = 1;
    std::unique_ptr<copy> copy_;
    /// Keys written or removed by operators and endpoints since the copy, with their values; without a value:
    /// removed.
    std::map<std::string, std::optional<std::string>> written_since_copy_;
    std::map<std::string, std::optional<std::string>> lost_;
};

} // namespace hemlocknotch::standins
