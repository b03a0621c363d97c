#pragma once

#include <hemlocknotch/core/account_key.hpp>
#include <hemlocknotch/core/agent_options.hpp>
#include <hemlocknotch/core/concurrency_limit.hpp>
#include <hemlocknotch/core/fair_order.hpp>
#include <hemlocknotch/core/service_ledger.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hemlocknotch {

struct agent_context;

/// Weighted service of one client account, fleet-wide as far as known.
struct account_counter {
    account_key client_account;
    /// Name from the configuration.
    std::string name;
    /// In units over weight.
    double counter = 0.0;
};

/// What an agent knows, for status pages and tests. Not safe for use by two threads at once.
class agent_state {
public:
    /// Precondition: neither policy is null.
    agent_state(const agent_options& options, std::unique_ptr<fair_order> order,
                std::unique_ptr<concurrency_limit> limit);
    ~agent_state();
    agent_state(agent_state&&) = delete;
    agent_state& operator=(agent_state&&) = delete;
    agent_state(const agent_state&) = delete;
    agent_state& operator=(const agent_state&) = delete;

    /// Returns the number of requests that hold a place of the endpoint.
    [[nodiscard]] std::size_t running() const;

    /// Returns the number of accepted requests that wait for a place.
    [[nodiscard]] std::size_t waiting() const;

    /// Returns the number of ended requests whose answers are kept.
    [[nodiscard]] std::size_t ended() const;

    /// Returns the present concurrency limit.
    [[nodiscard]] std::uint32_t limit() const;

    /// Returns the number of free places that are promised to nobody.
    [[nodiscard]] std::uint32_t free_slots() const;

    /// Returns the number of grants that are out.
    [[nodiscard]] std::size_t grants() const;

    /// Returns the number of links to entries.
    [[nodiscard]] std::size_t links() const;

    /// Returns the configuration revision in force, 0 before the first.
    [[nodiscard]] std::uint64_t revision() const;

    /// Returns whether the agent takes new work.
    [[nodiscard]] bool is_ready() const;

    /// Returns whether the agent finishes its work and takes none.
    [[nodiscard]] bool is_draining() const;

    /// Returns the counters of service.
    [[nodiscard]] const service_ledger& ledger() const;

    /// Returns the counter of each client account of the configuration, in order of names.
    [[nodiscard]] std::vector<account_counter> counters() const;

    /// Returns the modules, for the reducer.
    [[nodiscard]] agent_context& context() { return *context_; }

private:
    std::unique_ptr<agent_context> context_;
};

} // namespace hemlocknotch
