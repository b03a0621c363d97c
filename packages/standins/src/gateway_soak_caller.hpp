#pragma once

#include <hemlocknotch/standins/gateway_soak.hpp>

#include <string>

namespace hemlocknotch::standins {

/// A caller and its request in progress.
struct gateway_soak::caller_state {
    /// With `is_direct`, no relay is between the caller and the gateway.
    caller_state(gateway_soak& soak, soak_gateway& to, bool direct)
        : gateway{to},
          is_direct{direct},
          caller{soak.loop_.base(), direct ? to.callers() : to.caller_link().address(),
                 [this, &soak](const kept_connection_answer& it) { soak.handle_answer(*this, it); }},
          pause{soak.loop_.base(), [this, &soak] { soak.send_request(*this); }},
          rest_timer{soak.loop_.base(), [this] { caller.send_more(rest); }}
    {
    }

    soak_gateway& gateway;
    bool is_direct;
    kept_connection_caller caller;
    timer pause;
    /// Sends the last bytes of a request that is sent slowly.
    timer rest_timer;
    std::string rest;
    std::string id;
    instant sent_at;
    std::string expected_body;
    bool has_served_since_healing = false;
};

} // namespace hemlocknotch::standins
