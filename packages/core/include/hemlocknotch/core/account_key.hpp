#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace hemlocknotch {

/// Compact key that stands for the name of a client account or service in messages: the 32-bit xxHash of the
/// name. The configuration check rejects two names with the same key, so keys are unique within a
/// configuration.
class account_key {
public:
    /// Creates the default key 0, used where there is no account or service.
    constexpr account_key() = default;

    /// Creates a key from its number, as read from a message. Never fails.
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
