#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// What the stand-ins answer, as pure functions of the request, so that a caller can check every byte.
namespace hemlocknotch::standins {

/// Returns line `index` (from 0) of a model engine's answer to a request with `body`, newline included.
std::string answer_line(std::string_view body, std::uint64_t index);

/// Returns a model engine's whole answer of `tokens` lines to a request with `body`.
std::string expected_engine_answer(std::string_view body, std::uint64_t tokens);

/// Returns a plain service's whole answer to a request.
std::string expected_plain_answer(std::string_view method, std::string_view target, std::string_view body);

} // namespace hemlocknotch::standins
