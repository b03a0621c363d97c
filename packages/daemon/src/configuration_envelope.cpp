#include "configuration_envelope.hpp"

#include <nlohmann/json.hpp>

namespace hemlocknotch {

std::optional<configuration_envelope> read_configuration_envelope(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("revision") || !json["revision"].is_number_unsigned() ||
        !json.contains("document") || !json["document"].is_string()) {
        return std::nullopt;
    }
    configuration_envelope out{json["revision"].get<std::uint64_t>(), json["document"].get<std::string>()};
    if (out.revision == 0) {
        return std::nullopt;
    }
    return out;
}

} // namespace hemlocknotch
