#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <string>

namespace hemlocknotch::gateway {

/// What an endpoint has registered of itself.
struct endpoint_record {
    /// Names one start of one endpoint, except where it starts again under its old name.
    std::string instance;
    std::string service;
    endpoint_address address;
    std::string failure_domain;
    /// Requests that it executes at once. Zero: not stated.
    unsigned slots = 0;
    bool is_draining = false;
    /// How much longer it stays cold, counted from the moment of the registration.
    duration cold_remaining{};
    /// Start of the endpoint in Unix milliseconds; tells two starts under one name apart. Zero: not stated.
    std::uint64_t started_at_ms = 0;

    friend bool operator==(const endpoint_record&, const endpoint_record&) = default;
};

} // namespace hemlocknotch::gateway
