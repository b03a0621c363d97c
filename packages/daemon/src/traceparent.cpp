#include "traceparent.hpp"

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

constexpr std::size_t trace_id_offset = 3;
constexpr std::size_t trace_id_length = 32;
constexpr std::size_t span_id_offset = trace_id_offset + trace_id_length + 1;
constexpr std::size_t span_id_length = 16;
constexpr std::size_t flags_offset = span_id_offset + span_id_length + 1;
constexpr std::size_t text_length = flags_offset + 2;

bool is_lower_hex(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool is_all_zero(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) { return c == '0'; });
}

} // namespace

traceparent::traceparent(std::string text) : text_{std::move(text)}
{
}

std::optional<traceparent> traceparent::parse(std::string_view text)
{
    if (text.size() != text_length || !text.starts_with("00-") || text[span_id_offset - 1] != '-' ||
        text[flags_offset - 1] != '-') {
        return std::nullopt;
    }
    traceparent out{std::string{text}};
    if (!is_lower_hex(out.trace_id()) || !is_lower_hex(out.span_id()) ||
        !is_lower_hex(text.substr(flags_offset))) {
        return std::nullopt;
    }
    if (is_all_zero(out.trace_id()) || is_all_zero(out.span_id())) {
        return std::nullopt;
    }
    return out;
}

traceparent traceparent::of(std::string_view trace_id, std::string_view span_id)
{
    assert(trace_id.size() == trace_id_length);
    assert(span_id.size() == span_id_length);
    return traceparent{"00-" + std::string{trace_id} + "-" + std::string{span_id} + "-01"};
}

std::string_view traceparent::trace_id() const
{
    return std::string_view{text_}.substr(trace_id_offset, trace_id_length);
}

std::string_view traceparent::span_id() const
{
    return std::string_view{text_}.substr(span_id_offset, span_id_length);
}

std::string to_hex(std::uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bits_per_digit = 4;
    std::string out(span_id_length, '0');
    for (auto it = out.rbegin(); it != out.rend(); ++it) {
        *it = digits[value & 0xfU];
        value >>= bits_per_digit;
    }
    return out;
}

} // namespace hemlocknotch::daemon
