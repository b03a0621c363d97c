#pragma once

#include <hemlocknotch/gateway/endpoint_table.hpp>
#include <hemlocknotch/gateway/fleet_report.hpp>

#include "service_admission.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace hemlocknotch::gateway {

/// Admission of each service, by the name of the service.
using admission_map = std::map<std::string, std::unique_ptr<service_admission>, std::less<>>;

/// Creates the reports of this gateway, applies those of others, and keeps track of which gateways report.
/// Used by one thread at a time.
class fleet_reports {
public:
    /// `endpoints` must outlive the object.
    explicit fleet_reports(endpoint_table& endpoints) : endpoints_{endpoints} {}

    /// Sets the number of gateways, including this one. Precondition: at least 1.
    void set_gateways(std::size_t gateways);

    [[nodiscard]] std::size_t gateways() const { return gateways_; }

    /// Returns the names of the other gateways whose reports are current.
    [[nodiscard]] const std::set<std::string, std::less<>>& others() const { return reporting_; }

    /// Returns the report of this gateway; the sender fills in name, incarnation and sequence.
    [[nodiscard]] fleet_report create(const admission_map& services, instant now) const;

    /// Applies the reported load of another gateway. The rates of accounts in the report are left to the
    /// caller. Returns whether the gateway did not report until now.
    bool apply_load(const fleet_report& report);

    /// Records the version of the configuration that is in force at another gateway; 0: none.
    void note_configuration(const std::string& gateway, std::uint64_t version);
    /// Returns the latest version that a gateway whose reports are current has reported; 0: none.
    [[nodiscard]] std::uint64_t latest_configuration() const;

    /// Removes what `gateway` has reported.
    void remove(std::string_view gateway);

private:
    void update_non_reporting_gateways();

    endpoint_table& endpoints_;
    std::size_t gateways_ = 1;
    /// Other gateways whose reports are current.
    std::set<std::string, std::less<>> reporting_;
    /// Version of the configuration in force at each of them.
    std::map<std::string, std::uint64_t, std::less<>> configurations_;
};

} // namespace hemlocknotch::gateway
