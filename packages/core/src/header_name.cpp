#include <hemlocknotch/core/header_name.hpp>

#include <algorithm>
#include <cctype>

namespace hemlocknotch {
namespace {

char lower(unsigned char c)
{
    return static_cast<char>(std::tolower(c));
}

} // namespace

bool is_same_header(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, {}, lower, lower);
}

} // namespace hemlocknotch
