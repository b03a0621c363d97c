#include <hemlocknotch/standins/connection_listener.hpp>

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <stdexcept>
#include <string>
#include <utility>

namespace hemlocknotch::standins {

void connection_listener::deleter::operator()(evconnlistener* it) const
{
    evconnlistener_free(it);
}

connection_listener::connection_listener(event_base* base, const endpoint_address& address,
                                         std::function<void(int)> accept)
    : accept_{std::move(accept)}, address_{address}
{
    constexpr int backlog = 128;
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(address.port());
    inet_pton(AF_INET, address.host().c_str(), &at.sin_addr);
    listener_.reset(evconnlistener_new_bind(base, on_accepted, this,
                                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
                                            backlog, reinterpret_cast<sockaddr*>(&at), sizeof at));
    socklen_t length = sizeof at;
    if (!listener_ ||
        getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &length) != 0) {
        throw std::runtime_error{"cannot listen at " + address.to_string()};
    }
    address_ = *endpoint_address::parse(address.host() + ":" + std::to_string(ntohs(at.sin_port)));
}

void connection_listener::on_accepted(evconnlistener* /*listener*/, int fd, sockaddr* /*from*/, int /*n*/,
                                      void* self)
{
    static_cast<connection_listener*>(self)->accept_(fd);
}

} // namespace hemlocknotch::standins
