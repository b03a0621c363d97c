#include <hemlocknotch/standins/service_faults.hpp>

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <string>

namespace hemlocknotch::standins {

service_faults read_service_faults(const nlohmann::json& document, const service_faults& current)
{
    service_faults faults = current;
    for (const auto& [key, value] : document.items()) {
        if (key == "refuse") {
            faults.is_refusing = value.get<bool>();
        }
        else if (key == "silent") {
            faults.is_silent = value.get<bool>();
        }
        else if (key == "cut_after_bytes") {
            faults.cut_after_bytes = value.get<std::size_t>();
        }
        else if (key == "slowness") {
            faults.slowness = value.get<double>();
        }
        else if (key == "lose_answers") {
            faults.is_losing_answers = value.get<bool>();
        }
        else {
            throw std::runtime_error{"unknown fault '" + key +
                                     "'; known: refuse, silent, cut_after_bytes, slowness, lose_answers"};
        }
    }
    return faults;
}

nlohmann::json to_json(const service_faults& faults)
{
    return {{"refuse", faults.is_refusing},
            {"silent", faults.is_silent},
            {"cut_after_bytes", faults.cut_after_bytes},
            {"slowness", faults.slowness},
            {"lose_answers", faults.is_losing_answers}};
}

} // namespace hemlocknotch::standins
