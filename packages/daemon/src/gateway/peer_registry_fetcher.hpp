#pragma once

#include <hemlocknotch/coordination/http_client.hpp>
#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/gateway/registry_update.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace hemlocknotch::daemon {

/// Path at which a gateway serves its view of the registry.
inline constexpr std::string_view registry_path = "/registry";

/// Fetches the complete registry from other gateways, one after the other, for a gateway that starts while
/// the store is unavailable. Used on the event loop's thread only.
class peer_registry_fetcher {
public:
    using fetched_callback = std::function<void(const gateway::registry_update&)>;

    /// `base` must outlive the fetcher. `fetched` receives what a gateway answered. Precondition: it is not
    /// empty.
    peer_registry_fetcher(event_base* base, const std::vector<endpoint_address>& gateways,
                          fetched_callback fetched);

    /// Requests the registry from the next gateway, unless a request is in progress or no gateway is known.
    /// `fetched` is called only where the gateway answers with a readable registry.
    void fetch();

private:
    std::vector<std::unique_ptr<http_client>> clients_;
    fetched_callback fetched_;
    std::size_t next_client_ = 0;
    bool is_fetching_ = false;
};

} // namespace hemlocknotch::daemon
