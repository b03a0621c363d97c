#include <hemlocknotch/core/reach_rule.hpp>

#include <algorithm>
#include <cassert>

namespace hemlocknotch {

reach_rule::reach_rule(duration limit, instant now)
    : limit_{limit}, last_contact_{now}, last_own_domain_contact_{now}
{
    assert(limit > duration::zero());
}

void reach_rule::on_store_reached(instant now)
{
    last_contact_ = std::max(last_contact_, now);
}

void reach_rule::on_other_domain_reached(instant now)
{
    last_contact_ = std::max(last_contact_, now);
}

void reach_rule::on_own_domain_reached(instant now)
{
    last_own_domain_contact_ = std::max(last_own_domain_contact_, now);
}

void reach_rule::set_has_other_domains(bool has_other_domains)
{
    has_other_domains_ = has_other_domains;
}

bool reach_rule::is_in_reach(instant now) const
{
    const instant last =
        has_other_domains_ ? last_contact_ : std::max(last_contact_, last_own_domain_contact_);
    return now - last <= limit_;
}

} // namespace hemlocknotch
