#include "media_type.hpp"

#include <hemlocknotch/core/header_name.hpp>

namespace hemlocknotch {

std::string_view media_type_of(std::span<const header_field> headers)
{
    for (const header_field& it : headers) {
        if (is_same_header(it.name, "Content-Type")) {
            const std::string_view type = std::string_view{it.value}.substr(0, it.value.find(';'));
            return type.substr(0, type.find_last_not_of(" \t") + 1);
        }
    }
    return {};
}

bool may_continue(std::string_view a, std::string_view b)
{
    // Media types, like header names, are compared without regard to case.
    return a.empty() || b.empty() || is_same_header(a, b);
}

} // namespace hemlocknotch
