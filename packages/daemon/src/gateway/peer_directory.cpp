#include "peer_directory.hpp"

#include <hemlocknotch/gateway/fleet_report.hpp>

#include <algorithm>
#include <utility>

namespace hemlocknotch::daemon {

peer_directory::peer_directory(std::string own_name) : own_name_{std::move(own_name)}
{
}

void peer_directory::set_registered(std::span<const gateway::member_item> members)
{
    registered_.clear();
    for (const auto& it : members) {
        if (it.name != own_name_) {
            registered_.emplace(it.name, it.address);
        }
    }
    update_addresses();
}

bool peer_directory::note_heard(std::string_view name, const endpoint_address& address, instant now)
{
    if (const auto it = heard_.find(name); it != heard_.end()) {
        it->second.at = now;
        return false;
    }
    heard_.emplace(name, heard_gateway{address, now});
    update_addresses();
    return !registered_.contains(name);
}

std::vector<std::string> peer_directory::remove_silent(instant now)
{
    std::vector<std::string> out;
    const auto lifetime =
        std::max<duration>(report_lifetime, gateway::report_interval(addresses_.size()) * lifetime_intervals);
    std::erase_if(heard_, [&](const auto& it) {
        if (now - it.second.at < lifetime) {
            return false;
        }
        out.push_back(it.first);
        return true;
    });
    if (!out.empty()) {
        update_addresses();
    }
    return out;
}

std::vector<endpoint_address> peer_directory::addresses_of(std::span<const std::string> names) const
{
    std::vector<endpoint_address> out;
    for (const auto& name : names) {
        if (const auto it = heard_.find(name); it != heard_.end()) {
            out.push_back(it->second.address);
        }
        else if (const auto member = registered_.find(name); member != registered_.end()) {
            out.push_back(member->second);
        }
    }
    return out;
}

void peer_directory::update_addresses()
{
    addresses_.clear();
    for (const auto& [name, address] : registered_) {
        addresses_.push_back(address);
    }
    for (const auto& [name, it] : heard_) {
        if (!registered_.contains(name)) {
            addresses_.push_back(it.address);
        }
    }
}

} // namespace hemlocknotch::daemon
