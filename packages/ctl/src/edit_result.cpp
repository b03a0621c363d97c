#include <hemlocknotch/ctl/edit_result.hpp>

#include <cassert>

namespace hemlocknotch {

std::string_view to_string(edit_status status)
{
    switch (status) {
    case edit_status::applied:
        return "applied";
    case edit_status::unchanged:
        return "unchanged";
    case edit_status::refused:
        return "refused";
    case edit_status::conflict:
        return "conflict";
    case edit_status::unknown:
        return "unknown";
    case edit_status::unavailable:
        return "unavailable";
    case edit_status::not_found:
        return "not-found";
    }
    assert(false);
    return "";
}

} // namespace hemlocknotch
