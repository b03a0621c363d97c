#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/member.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// One instance as the platform's list gives it.
struct listed_instance {
    member process;
    /// Where its status is served; nothing where the list does not say.
    std::optional<endpoint_address> operators;

    friend bool operator==(const listed_instance&, const listed_instance&) = default;
};

/// Reads the instance list's answer (docs/INTERFACES.md). Instances that cannot be read are left out, so that
/// one of them does not hide the others. Returns nothing where the text as a whole is no instance list. Never
/// throws.
std::optional<std::vector<listed_instance>> read_instance_document(std::string_view text);

} // namespace hemlocknotch
