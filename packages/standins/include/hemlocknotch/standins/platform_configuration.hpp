#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace hemlocknotch::standins {

/// Returns a configuration of the users' platform with host `h` and the routes `/stream/` (resumable, service
/// `model`), `/unsafe/` and `/safe/` (service `plain`), and a tenant `acme` with `key-1` and, if asked for,
/// `key-2`. `further_routes` more routes make it large. A request takes at most `timeout`. Thread-safe.
std::string create_platform_configuration(std::uint64_t version, bool has_second_key = true,
                                          int further_routes = 0,
                                          std::chrono::milliseconds timeout = std::chrono::seconds{5});

} // namespace hemlocknotch::standins
