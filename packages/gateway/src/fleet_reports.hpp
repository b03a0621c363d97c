#pragma once

#include <hemlocknotch/gateway/endpoint_table.hpp>
#include <hemlocknotch/gateway/fleet_report.hpp>

#include "service_admission.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace hemlocknotch::gateway {

/// Admission by the name of the service.
using admission_map = std::map<std::string, std::unique_ptr<service_admission>, std::less<>>;

/// What the gateways of the fleet tell each other, and which of them are heard. Used by one thread at a time.
class fleet_reports {
public:
    /// `endpoints` must outlive the object.
    explicit fleet_reports(endpoint_table& endpoints) : endpoints_{endpoints} {}

    /// Changes the number of gateways. Precondition: at least 1.
    void set_gateways(std::size_t gateways);

    [[nodiscard]] std::size_t gateways() const { return gateways_; }

    /// Returns what this gateway tells; name and sequence are left to the sender.
    [[nodiscard]] fleet_report create(const admission_map& services, instant now) const;

    /// Notes the load that another gateway tells. What it tells of accounts is left to the caller.
    void apply_load(const fleet_report& report);

    /// Forgets the load that `gateway` has told.
    void remove(std::string_view gateway);

private:
    void update_non_reporting();

    endpoint_table& endpoints_;
    std::size_t gateways_ = 1;
    /// Gateways whose reports are current.
    std::set<std::string, std::less<>> reporting_;
};

} // namespace hemlocknotch::gateway
