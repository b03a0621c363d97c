#pragma once

#include <hemlocknotch/core/time.hpp>

#include <functional>
#include <string>

namespace hemlocknotch {

/// What an editor of the configuration needs from outside besides the key-value service.
class edit_environment {
public:
    virtual ~edit_environment() = default;

    /// Returns the time in UTC, such as `2026-01-31T12:00:00Z`.
    [[nodiscard]] virtual std::string now_utc() const = 0;

    /// Returns a text that no other change has, such as 16 random hexadecimal digits.
    virtual std::string new_change() = 0;

    /// Calls `action` once after `delay`, from the event loop.
    virtual void run_later(duration delay, std::function<void()> action) = 0;
};

} // namespace hemlocknotch
