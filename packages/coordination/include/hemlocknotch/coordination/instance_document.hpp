#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/member.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// One entry of the platform's instance list.
struct listed_instance {
    member process;
    /// Address of its HTTP server for operators; nothing if the list gives none.
    std::optional<endpoint_address> operators;

    friend bool operator==(const listed_instance&, const listed_instance&) = default;
};

/// Parses an answer of the instance list (docs/INTERFACES.md). Invalid entries are skipped, so that one of
/// them does not make the valid ones unavailable. Returns nothing if the text as a whole is not an instance
/// list. Never throws.
std::optional<std::vector<listed_instance>> read_instance_document(std::string_view text);

} // namespace hemlocknotch
