#pragma once

#include "fleet_model.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway::model {

/// A deployment and the load that its users specified.
struct site_profile {
    fleet_options fleet;
    std::vector<request_profile> requests;
};

/// Returns the deployment `name`: `saadruil`, `fassreg-ch`, either with the suffix `-grown`,
/// `saadruil-large`, or `long-run`, the size that the design aims for. Empty if there is none of that name.
/// The figures come from the users' data sheets.
std::optional<site_profile> find_site(std::string_view name);

} // namespace hemlocknotch::gateway::model
