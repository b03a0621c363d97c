#pragma once

#include <hemlocknotch/gateway/endpoint_table.hpp>
#include <hemlocknotch/gateway/fleet_report.hpp>
#include <hemlocknotch/gateway/router_port.hpp>

#include <string_view>

namespace hemlocknotch::gateway {

/// Takes what endpoints say of themselves in their answers, to this gateway and to others, over into the
/// endpoint table. Used by one thread at a time.
class endpoint_announcements {
public:
    /// `endpoints` and `port` must outlive the object.
    endpoint_announcements(endpoint_table& endpoints, router_port& port) : endpoints_{endpoints}, port_{port}
    {
    }

    /// Applies an answer with `status` of the endpoint `instance`. Returns whether an endpoint now leaves.
    bool note_answer(std::string_view instance, int status, const answer_fields& fields, instant now);

    /// Applies what another gateway has observed. Returns whether an endpoint now leaves.
    bool apply_report(const fleet_report& report, instant now);

private:
    void note_limit(endpoint_state& endpoint, double requests_per_second, instant observed_at,
                    std::string_view source, instant now);
    void note_pause(endpoint_state& endpoint, duration length, std::string_view source, instant now);
    bool note_leaving(endpoint_state& endpoint, std::string_view source, instant now);
    void log_unreadable(std::string_view instance, std::string_view field);

    endpoint_table& endpoints_;
    router_port& port_;
};

} // namespace hemlocknotch::gateway
