#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

/// Size of the fuzzed fleet, and limits that are small enough for the runs to reach them.
namespace hemlocknotch::fuzz {

inline constexpr std::size_t entry_count = 2;
inline constexpr std::size_t agent_count = 3;
inline constexpr std::uint32_t endpoint_limit = 2;
inline constexpr std::size_t max_waiting = 24;
inline constexpr std::size_t max_held_bytes = 1500;
inline constexpr std::size_t window_bytes = 64;

/// Returns the address at which agent number `agent` accepts links.
inline endpoint_address address_of(std::size_t agent)
{
    return endpoint_address::parse("127.0.0.1:" + std::to_string(agent + 1)).value();
}

/// Returns the failure domain of entry or agent number `n`.
inline std::string domain_of(std::size_t n)
{
    return std::string(1, static_cast<char>('a' + n % 2));
}

} // namespace hemlocknotch::fuzz
