#include <hemlocknotch/core/endpoint_address.hpp>

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <utility>

namespace hemlocknotch {
namespace {

struct host_and_port {
    std::string host;
    std::string_view port;
};

std::optional<host_and_port> split(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const bool is_bracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
    if (is_bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    const bool is_ip6 = host.find(':') != std::string_view::npos;
    if (is_ip6 != is_bracketed) {
        return std::nullopt;
    }
    return host_and_port{std::string{host}, port};
}

bool is_numeric_address(const std::string& host)
{
    if (host.find('\0') != std::string::npos) {
        return false;
    }
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    return inet_pton(AF_INET, host.c_str(), buf.data()) == 1 ||
           inet_pton(AF_INET6, host.c_str(), buf.data()) == 1;
}

} // namespace

std::optional<endpoint_address> endpoint_address::parse(std::string_view text)
{
    auto parts = split(text);
    if (!parts || !is_numeric_address(parts->host)) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char* const end = parts->port.data() + parts->port.size();
    const auto [it, ec] = std::from_chars(parts->port.data(), end, port);
    if (ec != std::errc{} || it != end) {
        return std::nullopt;
    }
    return endpoint_address{std::move(parts->host), port};
}

std::string endpoint_address::to_string() const
{
    const bool is_ip6 = host_.find(':') != std::string::npos;
    const std::string host = is_ip6 ? "[" + host_ + "]" : host_;
    return host + ":" + std::to_string(port_);
}

} // namespace hemlocknotch
