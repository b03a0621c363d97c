#pragma once

#include <hemlocknotch/core/account_key.hpp>
#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// The configuration that operators edit, as validated values.
namespace hemlocknotch {

/// The unit in which the cost of a request is measured.
enum class cost_unit : std::uint8_t {
    /// One unit per line of the answer; a model engine writes one line per token.
    lines,
    /// One unit per request.
    requests,
};

/// A service that requests are routed to, such as one model or one plain service.
struct service_definition {
    std::string name;
    account_key key;
    cost_unit unit = cost_unit::lines;
    /// Assumed cost of a request about which nothing is known yet, in units.
    double initial_estimate = 1.0;
};

/// Urgency of a profile's requests relative to others of the same client account.
enum class urgency : std::uint8_t { prompt, normal, slow };

/// How requests of one kind are handled. Each request names its profile.
struct profile_definition {
    std::string name;
    std::string service;
    bool is_idempotent = false;
    urgency work_urgency = urgency::normal;
    /// Time from arrival within which a request must start to run, unless the request specifies a shorter
    /// one.
    duration deadline{};
    std::uint64_t max_body_bytes = 0;
    /// Maximum number of executions attempted for one idempotent request, the first included.
    std::uint32_t max_attempts = 1;
    /// Whether an endpoint can resume an answer from an offset.
    bool is_resumable = false;
};

/// A client account and its share of each service relative to the other accounts.
struct client_account_definition {
    std::string name;
    account_key key;
    double weight = 1.0;
};

/// Failure domains and instances that operators have taken out of service.
struct out_of_service {
    std::set<std::string, std::less<>> failure_domains;
    std::set<std::string, std::less<>> instances;

    friend bool operator==(const out_of_service&, const out_of_service&) = default;
};

/// An accepted configuration. Immutable once built; shared by pointer within a process.
struct configuration {
    /// Number of accepted changes. A process never moves to a lower revision.
    std::uint64_t revision = 0;
    std::map<std::string, service_definition, std::less<>> services;
    std::map<std::string, profile_definition, std::less<>> profiles;
    std::map<std::string, client_account_definition, std::less<>> client_accounts;
    /// Weight of each client account by key; filled in by the code that builds the configuration.
    std::unordered_map<account_key, double> weights;
    out_of_service out;
    /// The document that this was parsed from, as stored in the key-value service.
    std::string document;

    /// Returns the service called `name`, or null where there is none.
    [[nodiscard]] const service_definition* find_service(std::string_view name) const;

    /// Returns the profile called `name`, or null where there is none.
    [[nodiscard]] const profile_definition* find_profile(std::string_view name) const;

    /// Returns the client account called `name`, or null where there is none.
    [[nodiscard]] const client_account_definition* find_client_account(std::string_view name) const;

    /// Returns the weight of the client account with `key`; 1 where none has it. Always above zero.
    [[nodiscard]] double weight_of(account_key key) const;

    /// Returns whether the instance `name` is out of service, either itself or with its failure domain
    /// `failure_domain`.
    [[nodiscard]] bool is_out_of_service(std::string_view name, std::string_view failure_domain) const;
};

/// Shared pointer to an immutable configuration.
using configuration_ptr = std::shared_ptr<const configuration>;

} // namespace hemlocknotch
