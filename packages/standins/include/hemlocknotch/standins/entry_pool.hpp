#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/standins/client_call.hpp>
#include <hemlocknotch/standins/event_loop.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::standins {

/// One entry as the platform's balancer knows it.
struct balanced_entry {
    std::string name;
    endpoint_address callers;
    endpoint_address operators;
};

/// Reads `NAME=CALLERS,OPERATORS` with two addresses. Throws std::runtime_error on any other text.
balanced_entry parse_balanced_entry(std::string_view text);

/// How client accounts are spread over entries.
enum class account_spread : std::uint8_t {
    /// Every account's requests go to each entry alike.
    even,
    /// Half of the accounts have the first entry as their home, a third the second, and so on; four requests
    /// in
    /// five go to the account's home.
    skewed,
};

/// Takes the place of the platform's balancer: sends requests only to entries that say they are ready. One
/// thread.
class entry_pool {
public:
    /// Asks each entry for its readiness every 200 ms. `loop` must outlive it. Precondition: at least one
    /// entry.
    entry_pool(event_loop& loop, std::vector<balanced_entry> entries, account_spread spread,
               std::uint64_t seed);

    /// Returns the entry for the next request of the account with number `account`: a ready one, or any where
    /// none is.
    const balanced_entry& choose(std::size_t account);

private:
    struct member_state {
        balanced_entry entry;
        bool is_ready = true;
        bool is_probing = false;
        int answered_status = 0;
        std::unique_ptr<client_call> probe;
    };

    void probe_all();
    void finish_probe(std::size_t index, bool is_whole);
    [[nodiscard]] double weight_of(std::size_t account, std::size_t index) const;

    event_loop& loop_;
    std::vector<member_state> members_;
    account_spread spread_;
    std::mt19937_64 random_;
    timer probe_timer_;
};

} // namespace hemlocknotch::standins
