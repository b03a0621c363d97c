#include <hemlocknotch/core/configuration.hpp>

#include <cassert>

namespace hemlocknotch {
namespace {

template <class Map>
const typename Map::mapped_type* find_in(const Map& map, std::string_view name)
{
    const auto it = map.find(name);
    return it == map.end() ? nullptr : &it->second;
}

} // namespace

const service_definition* configuration::find_service(std::string_view name) const
{
    return find_in(services, name);
}

const profile_definition* configuration::find_profile(std::string_view name) const
{
    return find_in(profiles, name);
}

const client_account_definition* configuration::find_client_account(std::string_view name) const
{
    return find_in(client_accounts, name);
}

double configuration::weight_of(account_key key) const
{
    const auto it = weights.find(key);
    if (it == weights.end()) {
        return 1.0;
    }
    assert(it->second > 0.0);
    return it->second;
}

bool configuration::is_out_of_service(std::string_view name, std::string_view failure_domain) const
{
    return out.instances.contains(name) || out.failure_domains.contains(failure_domain);
}

} // namespace hemlocknotch
