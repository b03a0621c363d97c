#pragma once

#include <hemlocknotch/core/time.hpp>

namespace hemlocknotch {

/// Decides whether a process may accept new work. A process that is cut off may miss that operators have
/// taken it out of service, so it must have had contact with the key-value service or with a process of
/// another failure domain within a time limit. If no other failure domain is known, contact with any peer
/// counts. Not thread-safe.
class reachability_monitor {
public:
    /// Creates the monitor of a process that starts at `now`. Precondition: `limit` is above zero.
    reachability_monitor(duration limit, instant now);

    /// Records that the key-value service has answered.
    void on_store_contact(instant now);

    /// Records a message from a process of another failure domain.
    void on_other_domain_contact(instant now);

    /// Records a message from a process of the same failure domain.
    void on_own_domain_contact(instant now);

    /// Sets whether the instance list names processes of another failure domain.
    void set_has_other_domains(bool has_other_domains);

    /// Returns whether new work may be accepted at `now`.
    [[nodiscard]] bool is_reachable(instant now) const;

private:
    duration limit_;
    instant last_contact_;
    instant last_own_domain_contact_;
    bool has_other_domains_ = false;
};

} // namespace hemlocknotch
