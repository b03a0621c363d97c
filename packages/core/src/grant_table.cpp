#include "grant_table.hpp"

#include <cassert>

namespace hemlocknotch {

grant_table::grant_table(duration time_to_live) : time_to_live_{time_to_live}
{
    assert(time_to_live_ > duration::zero());
}

const issued_grant& grant_table::issue(link_id link, account_key client_account, double charged, instant now)
{
    const std::uint64_t number = ++last_number_;
    const issued_grant grant{number, link, client_account, charged, now + time_to_live_};
    return grants_.emplace(number, grant).first->second;
}

std::optional<issued_grant> grant_table::take(std::uint64_t number, link_id link, instant now)
{
    const auto it = grants_.find(number);
    if (it == grants_.end() || it->second.link != link || it->second.expires <= now) {
        return std::nullopt;
    }
    const issued_grant grant = it->second;
    grants_.erase(it);
    return grant;
}

std::vector<issued_grant> grant_table::take_expired(instant now)
{
    std::vector<issued_grant> taken;
    while (!grants_.empty() && grants_.begin()->second.expires <= now) {
        taken.push_back(grants_.begin()->second);
        grants_.erase(grants_.begin());
    }
    return taken;
}

std::vector<issued_grant> grant_table::take_for_link(link_id link)
{
    std::vector<issued_grant> taken;
    for (auto it = grants_.begin(); it != grants_.end();) {
        if (it->second.link == link) {
            taken.push_back(it->second);
            it = grants_.erase(it);
        }
        else {
            ++it;
        }
    }
    return taken;
}

std::optional<instant> grant_table::next_expiry() const
{
    if (grants_.empty()) {
        return std::nullopt;
    }
    return grants_.begin()->second.expires;
}

} // namespace hemlocknotch
