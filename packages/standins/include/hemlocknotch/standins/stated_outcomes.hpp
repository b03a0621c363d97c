#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace hemlocknotch::standins {

/// Checks a summary against stated outcomes (docs/STANDINS.md): for each name an object with `equal`, `min`
/// or `max`. Returns a sentence for each that does not hold, and for each that the summary lacks.
std::vector<std::string> failed_outcomes(const nlohmann::json& stated, const nlohmann::json& summary);

} // namespace hemlocknotch::standins
