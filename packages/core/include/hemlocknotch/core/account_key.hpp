#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace hemlocknotch {

/// Compact key of a client account or service name on the links: the 32-bit xxHash of the name. The
/// configuration check refuses two names with one key, so within a configuration keys are unique.
class account_key {
public:
    /// The key that no name is known by.
    constexpr account_key() = default;

    /// Makes a key from its number, as read from a message. Never fails.
    constexpr explicit account_key(std::uint32_t value) : value_{value} {}

    /// Returns the key of `name`. Never fails.
    static account_key of(std::string_view name);

    /// Returns the key as a number.
    [[nodiscard]] constexpr std::uint32_t value() const { return value_; }

    friend constexpr auto operator<=>(const account_key&, const account_key&) = default;

private:
    std::uint32_t value_ = 0;
};

} // namespace hemlocknotch

template <>
struct std::hash<hemlocknotch::account_key> {
    std::size_t operator()(const hemlocknotch::account_key& key) const noexcept { return key.value(); }
};
