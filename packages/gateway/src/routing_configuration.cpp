#include <hemlocknotch/gateway/routing_configuration.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace hemlocknotch::gateway {
namespace {

/// Returns `host` in lower case without its port.
std::string normal_host(std::string_view host)
{
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos) {
        host = host.substr(0, colon);
    }
    std::string out{host};
    std::ranges::transform(out, out.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

} // namespace

routing_configuration::routing_configuration(routing_document document) : document_{std::move(document)}
{
    for (const auto& it : document_.routes) {
        routes_.emplace(normal_host(it.host) + it.prefix, &it);
    }
    for (const auto& account : document_.accounts) {
        for (const auto& key : account.keys) {
            accounts_.emplace(key, &account);
        }
    }
    for (const auto& it : document_.services) {
        services_.emplace(it.name, &it);
    }
}

const route* routing_configuration::find_route(std::string_view host, std::string_view target) const
{
    auto path = target.substr(0, target.find('?'));
    auto key = normal_host(host);
    const auto host_size = key.size();
    key += path;
    // Each prefix ends with a slash, so only the parts of the path up to a slash are looked up, the longest
    // first.
    for (auto n = key.rfind('/'); n != std::string::npos && n >= host_size; n = key.rfind('/')) {
        key.resize(n + 1);
        if (const auto it = routes_.find(key); it != routes_.end()) {
            return it->second;
        }
        key.resize(n);
    }
    return nullptr;
}

const client_account* routing_configuration::find_account(std::string_view key) const
{
    const auto it = accounts_.find(std::string{key});
    return it == accounts_.end() ? nullptr : it->second;
}

const service_definition* routing_configuration::find_service(std::string_view name) const
{
    const auto it = services_.find(name);
    return it == services_.end() ? nullptr : it->second;
}

} // namespace hemlocknotch::gateway
