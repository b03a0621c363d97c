#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/registry_client.hpp>

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::daemon {

/// The other gateways of the fleet: those that are registered, and those whose reports arrive. A gateway that
/// the store rejects loses its registration and goes on serving, so it still has its part of the fleet's
/// limits and still needs the registry's changes. Used by one thread at a time.
class peer_directory {
public:
    /// Least time after its last report for which a gateway counts as heard. In a large fleet it is heard for
    /// `lifetime_intervals` report intervals, so that one report may be lost.
    static constexpr duration report_lifetime = std::chrono::seconds{2};
    static constexpr int lifetime_intervals = 3;

    /// `own_name` is the name of this gateway.
    explicit peer_directory(std::string own_name);

    /// Replaces the registered gateways. `members` may include this one.
    void set_registered(std::span<const gateway::member_item> members);

    /// Records a report that `name` sent from `address`. Returns whether it was not known until now.
    bool note_heard(std::string_view name, const endpoint_address& address, instant now);

    /// Removes the gateways that were not heard for the lifetime of a report, and returns their names.
    std::vector<std::string> remove_silent(instant now);

    /// Returns the addresses to which messages for all other gateways are sent.
    [[nodiscard]] std::span<const endpoint_address> addresses() const { return addresses_; }

    /// Returns the addresses of those of `names` that are known.
    [[nodiscard]] std::vector<endpoint_address> addresses_of(std::span<const std::string> names) const;

    /// Returns the number of gateways, this one included.
    [[nodiscard]] std::size_t gateway_count() const { return addresses_.size() + 1; }

    /// Returns the number of other gateways whose reports are current.
    [[nodiscard]] std::size_t heard_count() const { return heard_.size(); }

private:
    struct heard_gateway {
        endpoint_address address;
        instant at;
    };

    void update_addresses();

    std::string own_name_;
    std::map<std::string, endpoint_address, std::less<>> registered_;
    std::map<std::string, heard_gateway, std::less<>> heard_;
    std::vector<endpoint_address> addresses_;
};

} // namespace hemlocknotch::daemon
