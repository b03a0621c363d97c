#include <hemlocknotch/core/rendezvous.hpp>
#include <hemlocknotch/gateway/gateway_roster.hpp>

#include <algorithm>
#include <utility>

namespace hemlocknotch::gateway {

gateway_roster::gateway_roster(std::string own_name) : own_name_{std::move(own_name)}, names_{own_name_}
{
}

void gateway_roster::set_others(const std::set<std::string, std::less<>>& names)
{
    names_.assign(names.begin(), names.end());
    names_.push_back(own_name_);
}

std::size_t gateway_roster::rank_for(std::string_view key) const
{
    const auto own = rendezvous_weight(key, own_name_);
    return static_cast<std::size_t>(std::ranges::count_if(names_, [&](const std::string& name) {
        const auto weight = rendezvous_weight(key, name);
        return weight > own || (weight == own && name < own_name_);
    }));
}

std::vector<std::string> gateway_roster::first_for(std::string_view key, std::size_t count) const
{
    std::vector<std::string> out;
    for (const auto it : rendezvous_choose(key, names_, count)) {
        out.push_back(names_[it]);
    }
    return out;
}

} // namespace hemlocknotch::gateway
