#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/process_identity.hpp>

#include <cstdint>
#include <string>

namespace hemlocknotch {

/// State of an instance in the platform's instance list.
enum class member_state : std::uint8_t { live, leaving };

/// A process of the system as given by the instance list. The list may be out of date.
struct member {
    std::string name;
    process_role role = process_role::agent;
    /// Address at which it accepts links.
    endpoint_address address;
    std::string failure_domain;
    /// The service behind an agent; empty for an entry process.
    std::string service;
    member_state state = member_state::live;

    friend bool operator==(const member&, const member&) = default;
};

} // namespace hemlocknotch
