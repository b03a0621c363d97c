#include <hemlocknotch/standins/relay_route.hpp>

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <stdexcept>
#include <string>
#include <utility>

namespace hemlocknotch::standins {

std::optional<relay_mode> parse_relay_mode(std::string_view text)
{
    if (text == "pass") {
        return relay_mode::pass;
    }
    if (text == "cut") {
        return relay_mode::cut;
    }
    if (text == "refuse") {
        return relay_mode::refuse;
    }
    if (text == "silent") {
        return relay_mode::silent;
    }
    if (text == "one-way") {
        return relay_mode::one_way;
    }
    return std::nullopt;
}

void relay_route::listener_deleter::operator()(evconnlistener* it) const
{
    evconnlistener_free(it);
}

relay_route::relay_route(event_base* base, endpoint_address target) : base_{base}, target_{std::move(target)}
{
    sockaddr_in any_port{};
    any_port.sin_family = AF_INET;
    any_port.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    constexpr int backlog = 128;
    listener_.reset(evconnlistener_new_bind(base, on_accepted, this, LEV_OPT_CLOSE_ON_FREE, backlog,
                                            reinterpret_cast<sockaddr*>(&any_port), sizeof any_port));
    sockaddr_in bound{};
    socklen_t n = sizeof bound;
    if (!listener_ ||
        getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&bound), &n) != 0) {
        throw std::runtime_error{"cannot listen on loopback"};
    }
    address_ = endpoint_address::parse("127.0.0.1:" + std::to_string(ntohs(bound.sin_port)));
}

void relay_route::set_target(endpoint_address target)
{
    target_ = std::move(target);
}

void relay_route::set_mode(relay_mode mode)
{
    mode_ = mode;
    if (mode == relay_mode::cut) {
        connections_.clear();
        return;
    }
    for (const open_connection& it : connections_) {
        apply_mode(it);
    }
}

void relay_route::apply_mode(const open_connection& it) const
{
    if (mode_ == relay_mode::one_way && !it.is_silenced) {
        it.connection->set_one_way();
    }
    else {
        it.connection->set_silent(mode_ == relay_mode::silent || it.is_silenced);
    }
}

void relay_route::silence_open()
{
    for (open_connection& it : connections_) {
        it.is_silenced = true;
        it.connection->set_silent(true);
    }
}

void relay_route::reset_open(const std::function<bool()>& is_chosen)
{
    connections_.remove_if([&](const open_connection& it) {
        if (!is_chosen()) {
            return false;
        }
        it.connection->reset_when_destroyed();
        return true;
    });
}

void relay_route::on_accepted(evconnlistener* /*listener*/, int fd, sockaddr* /*from*/, int /*n*/, void* self)
{
    static_cast<relay_route*>(self)->accept(fd);
}

void relay_route::accept(int fd)
{
    if (mode_ == relay_mode::cut || mode_ == relay_mode::refuse) {
        evutil_closesocket(fd);
        return;
    }
    connections_.emplace_back();
    const auto it = std::prev(connections_.end());
    it->connection =
        std::make_unique<relay_connection>(base_, fd, target_, [this, it] { connections_.erase(it); });
    apply_mode(*it);
}

} // namespace hemlocknotch::standins
