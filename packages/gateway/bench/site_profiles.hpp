#pragma once

#include "fleet_model.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway::model {

/// A deployment and the load that its users state.
struct site_profile {
    fleet_options fleet;
    std::vector<request_profile> requests;
};

/// Returns the deployment `name`: `saadruil`, `fassreg-ch`, each with `-grown`, or `long-run`, the size that
/// the design aims at. Nothing where there is none of that name. Figures are the users' own, from their
/// sheets.
std::optional<site_profile> find_site(std::string_view name);

} // namespace hemlocknotch::gateway::model
