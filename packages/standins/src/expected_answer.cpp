#include <hemlocknotch/standins/expected_answer.hpp>

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace hemlocknotch::standins {
namespace {

std::uint64_t hash_of(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::string line_of(std::uint64_t body_hash, std::uint64_t index)
{
    std::array<char, 64> buf{};
    const std::uint64_t token = XXH64(&body_hash, sizeof body_hash, index);
    const int n =
        std::snprintf(buf.data(), buf.size(), "{\"index\":%llu,\"token\":\"%08llx\"}\n",
                      static_cast<unsigned long long>(index), static_cast<unsigned long long>(token >> 32U));
    return std::string(buf.data(), static_cast<std::size_t>(n));
}

} // namespace

std::string answer_line(std::string_view body, std::uint64_t index)
{
    return line_of(hash_of(body, 0), index);
}

std::string expected_engine_answer(std::string_view body, std::uint64_t tokens)
{
    const std::uint64_t body_hash = hash_of(body, 0);
    std::string text;
    for (std::uint64_t i = 0; i < tokens; ++i) {
        text += line_of(body_hash, i);
    }
    return text;
}

std::string expected_plain_answer(std::string_view method, std::string_view target, std::string_view body)
{
    const std::uint64_t sum = hash_of(body, hash_of(target, hash_of(method, 0)));
    std::array<char, 64> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "{\"receipt\":\"%016llx\"}\n",
                                static_cast<unsigned long long>(sum));
    return std::string(buf.data(), static_cast<std::size_t>(n));
}

} // namespace hemlocknotch::standins
