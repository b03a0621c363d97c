#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/crash_breaker.hpp>
#include <hemlocknotch/gateway/registry_client.hpp>

#include <map>

namespace hemlocknotch::daemon {

/// Writes the blocks of requests that this gateway is responsible for to the registry, so that they
/// outlast all gateways, and removes those that it has cleared. Used on the event loop's thread only.
class signature_block_registrar {
public:
    /// Time after which the registry removes a block by itself.
    static constexpr duration time_to_live = std::chrono::minutes{10};
    /// Time until an unsuccessful or unanswered write is repeated.
    static constexpr duration retry_interval = std::chrono::seconds{2};

    /// `client` and `breaker` must outlive the registrar.
    signature_block_registrar(gateway::registry_client& client, gateway::crash_breaker& breaker)
        : client_{client}, breaker_{breaker}
    {
    }

    /// Starts the calls that are due. To be called several times per second.
    void update(instant now);

private:
    gateway::registry_client& client_;
    gateway::crash_breaker& breaker_;
    /// Times from which writes of blocks may be repeated.
    std::map<gateway::request_signature, instant> repeat_at_;
    /// Signatures whose blocks are to be removed, each with the time from which the attempt may be repeated.
    std::map<gateway::request_signature, instant> removals_;
};

} // namespace hemlocknotch::daemon
