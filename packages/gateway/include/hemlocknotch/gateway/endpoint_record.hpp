#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <string>

namespace hemlocknotch::gateway {

/// Registration of one endpoint in the registry.
struct endpoint_record {
    /// Identifies one start of one endpoint, unless the endpoint starts again under the same name.
    std::string instance;
    std::string service;
    endpoint_address address;
    std::string failure_domain;
    /// Requests that it executes at once. Zero: not given.
    unsigned slots = 0;
    bool is_draining = false;
    /// How long the endpoint stays cold, counted from the registration.
    duration cold_remaining{};
    /// Start time of the endpoint in Unix milliseconds; distinguishes two starts under one name. Zero: not
    /// given.
    std::uint64_t started_at_ms = 0;
    /// Version of its software. Only compared; what two versions generate does not fit together.
    std::string software_version;

    friend bool operator==(const endpoint_record&, const endpoint_record&) = default;
};

} // namespace hemlocknotch::gateway
