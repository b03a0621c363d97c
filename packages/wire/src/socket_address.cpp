#include <hemlocknotch/wire/socket_address.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <cassert>
#include <optional>
#include <string>

namespace hemlocknotch::detail {

socket_address socket_address::of(const endpoint_address& address)
{
    socket_address value;
    auto* const ip4 = reinterpret_cast<sockaddr_in*>(&value.storage_);
    if (inet_pton(AF_INET, address.host().c_str(), &ip4->sin_addr) == 1) {
        ip4->sin_family = AF_INET;
        ip4->sin_port = htons(address.port());
        value.length_ = sizeof(sockaddr_in);
        return value;
    }
    auto* const ip6 = reinterpret_cast<sockaddr_in6*>(&value.storage_);
    [[maybe_unused]] const int result = inet_pton(AF_INET6, address.host().c_str(), &ip6->sin6_addr);
    assert(result == 1);
    ip6->sin6_family = AF_INET6;
    ip6->sin6_port = htons(address.port());
    value.length_ = sizeof(sockaddr_in6);
    return value;
}

endpoint_address socket_address::bound_to(int socket)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    getsockname(socket, reinterpret_cast<sockaddr*>(&storage), &length);
    return decode(storage);
}

endpoint_address socket_address::decode(const sockaddr_storage& storage)
{
    std::array<char, INET6_ADDRSTRLEN> host{};
    std::string text;
    if (storage.ss_family == AF_INET6) {
        const auto* const ip6 = reinterpret_cast<const sockaddr_in6*>(&storage);
        inet_ntop(AF_INET6, &ip6->sin6_addr, host.data(), host.size());
        text = "[" + std::string{host.data()} + "]:" + std::to_string(ntohs(ip6->sin6_port));
    }
    else {
        const auto* const ip4 = reinterpret_cast<const sockaddr_in*>(&storage);
        inet_ntop(AF_INET, &ip4->sin_addr, host.data(), host.size());
        text = std::string{host.data()} + ":" + std::to_string(ntohs(ip4->sin_port));
    }
    const std::optional<endpoint_address> address = endpoint_address::parse(text);
    assert(address.has_value());
    return *address;
}

} // namespace hemlocknotch::detail
