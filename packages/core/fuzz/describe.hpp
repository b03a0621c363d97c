#pragma once

#include <hemlocknotch/core/message.hpp>

#include <string>

namespace hemlocknotch::fuzz {

/// Returns a one-line description of a message, for traces.
inline std::string describe(const message& value)
{
    return std::visit(
        [&](const auto& it) {
            std::string text{kind_of(value)};
            if constexpr (requires { it.id; }) {
                text += " " + std::to_string(it.id.sequence()) + "/" + std::to_string(it.attempt);
            }
            if constexpr (requires { it.offset; }) {
                text += " from " + std::to_string(it.offset);
            }
            if constexpr (requires { it.bytes; }) {
                text += " " + std::to_string(it.bytes.size()) + " bytes";
            }
            if constexpr (requires { it.length; }) {
                text += " length " + std::to_string(it.length);
            }
            if constexpr (requires { it.outcome; }) {
                text += " " + std::string{to_string(it.outcome)};
            }
            if constexpr (requires { it.state; }) {
                text += " state " + std::to_string(static_cast<int>(it.state));
            }
            return text;
        },
        value);
}

} // namespace hemlocknotch::fuzz
