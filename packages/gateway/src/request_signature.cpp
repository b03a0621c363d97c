#include <hemlocknotch/gateway/request_signature.hpp>

#include <sodium.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cstring>

namespace hemlocknotch::gateway {
namespace {

constexpr std::size_t hash_bytes = 2 * sizeof(std::uint64_t);
constexpr std::size_t digits_per_half = 2 * sizeof(std::uint64_t);
constexpr int hexadecimal = 16;

/// Selects the fastest implementation for this processor, once.
bool initialize_library()
{
    static const auto result = sodium_init();
    return result >= 0;
}

/// Appends a text with its length, so that two lists of texts are never taken for one another.
void append(crypto_generichash_state& state, std::string_view text)
{
    const std::uint64_t size = text.size();
    std::array<unsigned char, sizeof size> bytes{};
    std::memcpy(bytes.data(), &size, sizeof size);
    crypto_generichash_update(&state, bytes.data(), bytes.size());
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(text.data()), text.size());
}

void append_hexadecimal(std::string& out, std::uint64_t value, std::size_t width)
{
    std::array<char, digits_per_half> buf{};
    const auto* end = std::to_chars(buf.data(), buf.data() + buf.size(), value, hexadecimal).ptr;
    const auto size = static_cast<std::size_t>(end - buf.data());
    out.append(width - std::min(width, size), '0');
    out.append(buf.data(), size);
}

std::optional<std::uint64_t> parse_hexadecimal(std::string_view text)
{
    std::uint64_t out = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, out, hexadecimal);
    return ec == std::errc{} && stop == end ? std::optional{out} : std::nullopt;
}

} // namespace

request_signature sign_request(std::string_view account, const caller_request& request)
{
    [[maybe_unused]] const auto is_initialized = initialize_library();
    assert(is_initialized);
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, hash_bytes);
    for (const std::string_view text :
         {account, std::string_view{request.method}, std::string_view{request.host},
          std::string_view{request.target}, std::string_view{request.body}}) {
        append(state, text);
    }
    std::array<unsigned char, hash_bytes> hash{};
    crypto_generichash_final(&state, hash.data(), hash.size());
    request_signature out;
    std::memcpy(&out.high, hash.data(), sizeof out.high);
    std::memcpy(&out.low, hash.data() + sizeof out.high, sizeof out.low);
    out.high = std::max<std::uint64_t>(1, out.high);
    return out;
}

std::optional<request_signature> parse_signature(std::string_view text)
{
    const auto is_request = text.size() == 2 * digits_per_half;
    if (text.empty() || (!is_request && text.size() > digits_per_half)) {
        return std::nullopt;
    }
    const auto split = is_request ? digits_per_half : 0;
    const auto high = is_request ? parse_hexadecimal(text.substr(0, split)) : 0;
    const auto low = parse_hexadecimal(text.substr(split));
    if (!high || !low || (is_request && *high == 0)) {
        return std::nullopt;
    }
    return request_signature{*low, *high};
}

std::string to_text(const request_signature& it)
{
    std::string out;
    if (!it.is_prompt_part()) {
        append_hexadecimal(out, it.high, digits_per_half);
    }
    append_hexadecimal(out, it.low, it.is_prompt_part() ? 0 : digits_per_half);
    return out;
}

} // namespace hemlocknotch::gateway
