#include <hemlocknotch/wire/link_factory.hpp>
#include <hemlocknotch/wire/socket_address.hpp>

#include "event_pointers.hpp"
#include "websocket_link.hpp"

#include <event2/listener.h>

#include <cassert>
#include <utility>

namespace hemlocknotch {
namespace {

constexpr int use_system_backlog = -1;

class websocket_listener : public link_listener {
public:
    /// Returns null if the system refuses the address.
    static std::unique_ptr<websocket_listener> open(event_base* base, const endpoint_address& address)
    {
        const detail::socket_address target = detail::socket_address::of(address);
        std::unique_ptr<websocket_listener> it{new websocket_listener{base}};
        it->listener_.reset(evconnlistener_new_bind(base, &websocket_listener::on_accept, it.get(),
                                                    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                                    use_system_backlog, target.get(), target.length()));
        return it->listener_ ? std::move(it) : nullptr;
    }

    [[nodiscard]] endpoint_address address() const override
    {
        return detail::socket_address::bound_to(evconnlistener_get_fd(listener_.get()));
    }

private:
    explicit websocket_listener(event_base* base) : base_{base} {}

    static void on_accept(evconnlistener* /*listener*/, evutil_socket_t socket, sockaddr* /*peer*/,
                          int /*length*/, void* self)
    {
        auto* const it = static_cast<websocket_listener*>(self);
        it->accepted.emit(std::shared_ptr<peer_link>{detail::websocket_link::accept(it->base_, socket)});
    }

    event_base* base_;
    detail::listener_pointer listener_;
};

class websocket_link_factory : public link_factory {
public:
    explicit websocket_link_factory(event_base* base) : base_{base} { assert(base != nullptr); }

    std::unique_ptr<peer_link> connect(const endpoint_address& address) override
    {
        return detail::websocket_link::connect(base_, address);
    }

    std::unique_ptr<link_listener> listen(const endpoint_address& address) override
    {
        return websocket_listener::open(base_, address);
    }

private:
    event_base* base_;
};

} // namespace

std::unique_ptr<link_factory> create_websocket_link_factory(event_base* base)
{
    return std::make_unique<websocket_link_factory>(base);
}

} // namespace hemlocknotch
