#include <hemlocknotch/core/request_id.hpp>

#include <array>
#include <charconv>
#include <cstdio>

namespace hemlocknotch {
namespace {

constexpr std::size_t digits_per_half = 16;
constexpr int hexadecimal = 16;

std::optional<std::uint64_t> parse_half(std::string_view text)
{
    std::uint64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto [it, ec] = std::from_chars(text.data(), end, value, hexadecimal);
    if (ec != std::errc{} || it != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::optional<request_id> request_id::parse(std::string_view text)
{
    if (text.size() != 2 * digits_per_half) {
        return std::nullopt;
    }
    const auto origin = parse_half(text.substr(0, digits_per_half));
    const auto sequence = parse_half(text.substr(digits_per_half));
    if (!origin || !sequence) {
        return std::nullopt;
    }
    return request_id{*origin, *sequence};
}

std::string request_id::to_string() const
{
    std::array<char, 2 * digits_per_half + 1> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx%016llx", static_cast<unsigned long long>(origin_),
                  static_cast<unsigned long long>(sequence_));
    return std::string{buf.data()};
}

} // namespace hemlocknotch
