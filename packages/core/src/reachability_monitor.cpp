#include <hemlocknotch/core/reachability_monitor.hpp>

#include <algorithm>
#include <cassert>

namespace hemlocknotch {

reachability_monitor::reachability_monitor(duration limit, instant now)
    : limit_{limit}, last_contact_{now}, last_own_domain_contact_{now}
{
    assert(limit > duration::zero());
}

void reachability_monitor::on_store_contact(instant now)
{
    last_contact_ = std::max(last_contact_, now);
}

void reachability_monitor::on_other_domain_contact(instant now)
{
    last_contact_ = std::max(last_contact_, now);
}

void reachability_monitor::on_own_domain_contact(instant now)
{
    last_own_domain_contact_ = std::max(last_own_domain_contact_, now);
}

void reachability_monitor::set_has_other_domains(bool has_other_domains)
{
    has_other_domains_ = has_other_domains;
}

bool reachability_monitor::is_reachable(instant now) const
{
    const instant last =
        has_other_domains_ ? last_contact_ : std::max(last_contact_, last_own_domain_contact_);
    return now - last <= limit_;
}

} // namespace hemlocknotch
