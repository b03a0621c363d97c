#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/process_identity.hpp>

#include <cstdint>
#include <string>

namespace hemlocknotch {

/// What the platform's instance list says of an instance.
enum class member_state : std::uint8_t { live, leaving };

/// One process of the system, as the instance list gives it. The list lags behind the truth.
struct member {
    std::string name;
    process_role role = process_role::agent;
    /// Where its links are accepted.
    endpoint_address address;
    std::string failure_domain;
    /// The service behind an agent; empty for an entry.
    std::string service;
    member_state state = member_state::live;

    friend bool operator==(const member&, const member&) = default;
};

} // namespace hemlocknotch
