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

/// Path at which a gateway shows the whole registry as it knows it.
inline constexpr std::string_view registry_path = "/registry";

/// Asks other gateways for the whole registry, one after the other, for a gateway that starts while the
/// registry is away. Used on the event loop's thread only.
class peer_registry_fetcher {
public:
    using fetched_callback = std::function<void(const gateway::registry_update&)>;

    /// `base` must outlive the fetcher. Precondition: `fetched` is not empty.
    peer_registry_fetcher(event_base* base, const std::vector<endpoint_address>& gateways,
                          fetched_callback fetched);

    /// Asks the next gateway, unless a call is under way or none is known. `fetched` is called where it knows
    /// something.
    void fetch();

private:
    std::vector<std::unique_ptr<http_client>> clients_;
    fetched_callback fetched_;
    std::size_t next_ = 0;
    bool is_asking_ = false;
};

} // namespace hemlocknotch::daemon
