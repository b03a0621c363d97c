#include "message_parser.hpp"

#include "../caller_headers.hpp"

namespace hemlocknotch::daemon {
namespace {

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

bool has_token(const std::vector<std::string>& values, std::string_view token)
{
    for (std::string_view text : values) {
        while (!text.empty()) {
            const auto comma = text.find(',');
            if (is_same_header(trimmed(text.substr(0, comma)), token)) {
                return true;
            }
            text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
        }
    }
    return false;
}

bool is_connection_header(std::string_view name, const std::vector<std::string>& connection_values)
{
    return is_hop_by_hop_header(name) || has_token(connection_values, name);
}

} // namespace hemlocknotch::daemon
