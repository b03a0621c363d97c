#include "message_parser.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace hemlocknotch::daemon {
namespace {

constexpr std::array<std::string_view, 9> connection_headers{
    "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
    "trailer",    "transfer-encoding", "upgrade"};

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

} // namespace

bool is_same_name(std::string_view a, std::string_view b)
{
    return std::ranges::equal(
        a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

bool has_token(const std::vector<std::string>& values, std::string_view token)
{
    for (std::string_view text : values) {
        while (!text.empty()) {
            const auto comma = text.find(',');
            if (is_same_name(trimmed(text.substr(0, comma)), token)) {
                return true;
            }
            text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
        }
    }
    return false;
}

bool is_connection_header(std::string_view name, const std::vector<std::string>& connection_values)
{
    return std::ranges::any_of(connection_headers,
                               [&](std::string_view it) { return is_same_name(it, name); }) ||
           has_token(connection_values, name);
}

} // namespace hemlocknotch::daemon
