#include "http_server.hpp"

#include "start_error.hpp"

#include <boost/leaf/error.hpp>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <cstring>

namespace hemlocknotch::daemon {
namespace {

struct method_name {
    evhttp_cmd_type command;
    std::string_view name;
};

constexpr std::array methods{
    method_name{EVHTTP_REQ_GET, "GET"},       method_name{EVHTTP_REQ_POST, "POST"},
    method_name{EVHTTP_REQ_HEAD, "HEAD"},     method_name{EVHTTP_REQ_PUT, "PUT"},
    method_name{EVHTTP_REQ_DELETE, "DELETE"}, method_name{EVHTTP_REQ_OPTIONS, "OPTIONS"},
    method_name{EVHTTP_REQ_TRACE, "TRACE"},   method_name{EVHTTP_REQ_CONNECT, "CONNECT"},
    method_name{EVHTTP_REQ_PATCH, "PATCH"},
};

std::uint16_t bound_port(evhttp_bound_socket* socket)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof storage;
    const int fd = evhttp_bound_socket_get_fd(socket);
    if (getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &length) != 0) {
        return 0;
    }
    if (storage.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6*>(&storage)->sin6_port);
    }
    return ntohs(reinterpret_cast<const sockaddr_in*>(&storage)->sin_port);
}

/// Lets accepted connections, which inherit the socket option, send small parts at once. A part would
/// otherwise wait until the one before it is acknowledged (Nagle's algorithm, RFC 896), up to 40 ms with
/// delayed acknowledgements.
void send_without_delay(evhttp_bound_socket* socket)
{
    const int enabled = 1;
    setsockopt(evhttp_bound_socket_get_fd(socket), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

endpoint_address with_port(const endpoint_address& address, std::uint16_t port)
{
    const auto is_v6 = address.host().find(':') != std::string::npos;
    const auto host = is_v6 ? "[" + address.host() + "]" : address.host();
    const auto out = endpoint_address::parse(host + ":" + std::to_string(port));
    assert(out);
    return *out;
}

} // namespace

http_server::http_server(event_base* base) : server_{evhttp_new(base)}
{
    assert(server_);
    std::uint16_t allowed = 0;
    for (const auto& it : methods) {
        allowed |= static_cast<std::uint16_t>(it.command);
    }
    evhttp_set_allowed_methods(server_.get(), allowed);
    evhttp_set_default_content_type(server_.get(), nullptr);
}

boost::leaf::result<endpoint_address> http_server::listen(const endpoint_address& address,
                                                          std::string_view purpose)
{
    errno = 0;
    auto* socket = evhttp_bind_socket_with_handle(server_.get(), address.host().c_str(), address.port());
    if (socket == nullptr) {
        const auto error = errno;
        return boost::leaf::new_error(start_error{
            "cannot listen on " + address.to_string() + " for " + std::string{purpose} + ": " +
                std::strerror(error),
            "Choose an address of this machine and a free port, or port 0 to let the system choose.",
            may_pass(error)});
    }
    send_without_delay(socket);
    return with_port(address, bound_port(socket));
}

std::vector<header_field> headers_of(const evkeyvalq* headers)
{
    std::vector<header_field> out;
    for (const auto* it = headers->tqh_first; it != nullptr; it = it->next.tqe_next) {
        out.push_back({it->key, it->value});
    }
    return out;
}

std::string_view method_of(const evhttp_request* request)
{
    const auto command = evhttp_request_get_command(request);
    const auto* it = std::ranges::find(methods, command, &method_name::command);
    assert(it != methods.end());
    return it->name;
}

std::optional<evhttp_cmd_type> command_of(std::string_view method)
{
    const auto* it = std::ranges::find(methods, method, &method_name::name);
    return it == methods.end() ? std::nullopt : std::optional{it->command};
}

std::string take_bytes(evbuffer* buf)
{
    std::string out(evbuffer_get_length(buf), '\0');
    evbuffer_remove(buf, out.data(), out.size());
    return out;
}

} // namespace hemlocknotch::daemon
