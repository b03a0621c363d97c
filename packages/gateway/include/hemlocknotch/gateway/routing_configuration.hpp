#pragma once

#include <hemlocknotch/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlocknotch::gateway {

/// Whether and how a request may be repeated.
enum class request_kind : std::uint8_t {
    /// May be executed any number of times.
    safe,
    /// May be executed at most once.
    unsafe,
    /// Answered by a stream of events. Executed at most once, unless the route allows resuming.
    streaming,
};

/// One target of a route and its share of the route's requests.
struct weighted_service {
    std::string name;
    double weight = 1.0;
};

/// Settings for requests to one host and path prefix.
struct route {
    std::string name;
    /// Host in lower case, without port.
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    request_kind kind = request_kind::unsafe;
    /// Longest time until the final answer. Zero: no limit.
    duration timeout{};
    /// Time within which an answer, or the first event of a stream, has to begin to be on time.
    duration objective{};
    /// Longest pause between two events of a stream that is on time. Zero: not configured.
    duration pause_objective{};
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// At least one, with weights above zero.
    std::vector<weighted_service> services;
    /// Maximum number of endpoints that may execute one request. At least 1.
    unsigned max_attempts = 1;
    /// Requests need no key.
    bool is_anonymous = false;
    /// Whether a broken stream may be resumed at another endpoint after its last event.
    bool is_resumable = false;
};

/// Properties of the endpoints of one service.
struct service_definition {
    std::string name;
    /// Maximum number of connections to one endpoint from all callers together. Zero: not configured.
    unsigned max_connections = 0;
    /// How long an endpoint stays cold after its start.
    duration cold_start{};
    /// Requests per second that a cold endpoint sustains. Zero: not configured.
    double cold_requests_per_second = 0.0;
    /// Whether the service executes model requests, whose prompts have shared parts.
    bool is_model_service = false;
    /// Requests that one endpoint executes at once. Zero: not configured.
    unsigned slots = 0;
    /// Memory of one endpoint, in tokens. Zero: not configured.
    std::uint64_t memory_tokens = 0;
};

/// Limits on callers' requests and connections.
struct caller_limits {
    std::size_t max_header_bytes = std::size_t{16} << 10U;
    std::size_t max_body_bytes = std::size_t{4} << 20U;
    duration header_timeout = std::chrono::seconds{3};
    duration idle_timeout = std::chrono::seconds{15};
};

/// A party whose requests share the capacity with those of other parties.
struct client_account {
    std::string name;
    std::vector<std::string> keys;
    /// Overrides the priority of the route if configured.
    std::optional<unsigned> priority;
};

/// One version of the operators' configuration.
struct routing_document {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_definition> services;
    caller_limits limits;
    /// Tokens per second that all endpoints together process, generated tokens counted twice. Zero: not
    /// configured.
    double tokens_per_second = 0.0;
    std::vector<client_account> accounts;
};

/// Indexed form of a routing document. Immutable; safe to share between threads.
class routing_configuration {
public:
    explicit routing_configuration(routing_document document);

    routing_configuration(const routing_configuration&) = delete;
    routing_configuration(routing_configuration&&) = delete;
    routing_configuration& operator=(const routing_configuration&) = delete;
    routing_configuration& operator=(routing_configuration&&) = delete;
    ~routing_configuration() = default;

    [[nodiscard]] std::uint64_t version() const { return document_.version; }

    [[nodiscard]] const routing_document& document() const { return document_; }

    /// Returns the route of `host` (any case, with or without port) with the longest prefix of the path of
    /// `target`; null if there is none. Valid as long as this object.
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view target) const;

    /// Returns the account that holds `key`; null if there is none.
    [[nodiscard]] const client_account* find_account(std::string_view key) const;

    /// Returns the service `name`; null if it is not defined.
    [[nodiscard]] const service_definition* find_service(std::string_view name) const;

    /// Returns whether requests need a key, unless their route is anonymous.
    [[nodiscard]] bool has_accounts() const { return !document_.accounts.empty(); }

private:
    routing_document document_;
    std::unordered_map<std::string, const route*> routes_;
    std::unordered_map<std::string, const client_account*> accounts_;
    std::map<std::string, const service_definition*, std::less<>> services_;
};

} // namespace hemlocknotch::gateway
