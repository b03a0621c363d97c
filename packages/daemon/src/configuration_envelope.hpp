#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch {

/// Key of the operators' configuration in the key-value service.
inline constexpr std::string_view configuration_key = "hemlocknotch/configuration";

/// What the key-value service holds under `configuration_key`.
struct configuration_envelope {
    std::uint64_t revision = 0;
    std::string document;
};

/// Reads the value under `configuration_key`. Returns nothing where it is malformed or its revision is 0.
std::optional<configuration_envelope> read_configuration_envelope(std::string_view text);

} // namespace hemlocknotch
