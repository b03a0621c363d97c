#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch {

/// Identity of a caller's request: the incarnation of the entry process that accepted the request, and a
/// number that this incarnation never reuses. Immutable value; safe to share between threads.
class request_id {
public:
    /// Creates the null id, which no request has.
    constexpr request_id() = default;

    /// Creates the id of request number `sequence` of the entry incarnation `origin`. Never fails.
    constexpr request_id(std::uint64_t origin, std::uint64_t sequence) : origin_{origin}, sequence_{sequence}
    {
    }

    /// Parses the format that `to_string` returns (32 hexadecimal digits). Returns nothing for any other
    /// text.
    static std::optional<request_id> parse(std::string_view text);

    /// Returns the incarnation of the entry that accepted the request.
    [[nodiscard]] constexpr std::uint64_t origin() const { return origin_; }

    /// Returns the number of the request within its entry incarnation.
    [[nodiscard]] constexpr std::uint64_t sequence() const { return sequence_; }

    /// Returns 32 hexadecimal digits: origin, then sequence.
    [[nodiscard]] std::string to_string() const;

    friend constexpr auto operator<=>(const request_id&, const request_id&) = default;

private:
    std::uint64_t origin_ = 0;
    std::uint64_t sequence_ = 0;
};

} // namespace hemlocknotch

template <>
struct std::hash<hemlocknotch::request_id> {
    std::size_t operator()(const hemlocknotch::request_id& id) const noexcept
    {
        constexpr std::uint64_t odd_multiplier = 0x9e3779b97f4a7c15ULL;
        return static_cast<std::size_t>((id.origin() * odd_multiplier) ^ id.sequence());
    }
};
