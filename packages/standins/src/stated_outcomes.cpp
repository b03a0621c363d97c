#include <hemlocknotch/standins/stated_outcomes.hpp>

#include <sstream>

namespace hemlocknotch::standins {
namespace {

bool holds(const std::string& relation, double value, double bound)
{
    if (relation == "equal") {
        return value == bound;
    }
    if (relation == "min") {
        return value >= bound;
    }
    return relation == "max" && value <= bound;
}

} // namespace

std::vector<std::string> failed_outcomes(const nlohmann::json& stated, const nlohmann::json& summary)
{
    std::vector<std::string> failures;
    for (const auto& [name, bounds] : stated.items()) {
        if (!summary.contains(name) || !summary.at(name).is_number()) {
            failures.push_back(name + ": the run gave no such figure");
            continue;
        }
        const double value = summary.at(name).get<double>();
        for (const auto& [relation, bound] : bounds.items()) {
            if (!holds(relation, value, bound.get<double>())) {
                std::ostringstream text;
                text << name << ": stated " << relation << ' ' << bound << ", found " << summary.at(name);
                failures.push_back(text.str());
            }
        }
    }
    return failures;
}

} // namespace hemlocknotch::standins
