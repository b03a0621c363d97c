#pragma once

#include <hemlocknotch/coordination/http_client.hpp>
#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/gateway/registry_position.hpp>
#include <hemlocknotch/gateway/registry_update.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::daemon {

/// Path at which a gateway serves its view of the registry. With the query of a `registry_query` the answer
/// is 204 (no content) where the view has nothing newer.
inline constexpr std::string_view registry_path = "/registry";

/// What a gateway that asks for the registry knows already.
struct registry_query {
    gateway::registry_position position;
    /// Version of the configuration in force; 0: none.
    std::uint64_t configuration_version = 0;

    /// Returns the query of the URL.
    [[nodiscard]] std::string to_string() const;

    /// Parses the query of a URL. What is missing or no number is 0.
    [[nodiscard]] static registry_query parse(std::string_view text);

    /// Returns whether a gateway at `known` has something newer.
    [[nodiscard]] bool is_answered_by(const registry_query& known) const
    {
        return known.position > position || known.configuration_version > configuration_version;
    }
};

/// Fetches the complete registry from other gateways, one after the other, for a gateway that cannot read it
/// from the store. Used on the event loop's thread only.
class peer_registry_fetcher {
public:
    using fetched_callback = std::function<void(const gateway::registry_update&)>;

    /// `base` must outlive the fetcher. `fetched` receives what a gateway answered. Precondition: it is not
    /// empty.
    peer_registry_fetcher(event_base* base, const std::vector<endpoint_address>& gateways,
                          fetched_callback fetched);

    /// Remembers the page of a gateway that was heard of last. It is asked before the ones of the
    /// constructor.
    void set_latest(const endpoint_address& address);

    /// Requests the registry from the next gateway, unless a request is in progress or no gateway is known.
    /// `fetched` is called only where the gateway answers with a readable registry newer than `known`.
    void fetch(const registry_query& known);

private:
    http_client& next_client();

    event_base* base_;
    /// The gateway heard of last, and its address.
    std::unique_ptr<http_client> latest_client_;
    std::optional<endpoint_address> latest_;
    /// The gateway heard of last is not asked again before the others, after it has failed once.
    bool has_latest_failed_ = false;
    std::vector<std::unique_ptr<http_client>> clients_;
    fetched_callback fetched_;
    std::size_t next_client_ = 0;
    bool is_fetching_ = false;
};

} // namespace hemlocknotch::daemon
