#pragma once

#include <hemlocknotch/core/time.hpp>

namespace hemlocknotch {

/// Decides whether a process may take new work although it may have missed being taken out of service: it
/// must have heard from the key-value service or from a process of another failure domain within a limit.
/// Where no other failure domain is known, contact to any peer counts. Not safe for use by two threads at
/// once.
class reachability_monitor {
public:
    /// Makes the rule for a process that starts at `now`. Precondition: `limit` is above zero.
    reachability_monitor(duration limit, instant now);

    /// Tells that the key-value service has answered.
    void on_store_contact(instant now);

    /// Tells that a message has come from a process of another failure domain.
    void on_other_domain_contact(instant now);

    /// Tells that a message has come from a process of the same failure domain.
    void on_own_domain_contact(instant now);

    /// Tells whether the instance list names processes of another failure domain.
    void set_has_other_domains(bool has_other_domains);

    /// Returns whether new work may be taken at `now`.
    [[nodiscard]] bool is_reachable(instant now) const;

private:
    duration limit_;
    instant last_contact_;
    instant last_own_domain_contact_;
    bool has_other_domains_ = false;
};

} // namespace hemlocknotch
