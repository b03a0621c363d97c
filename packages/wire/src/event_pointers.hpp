#pragma once

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <memory>

namespace hemlocknotch::detail {

struct bufferevent_deleter {
    void operator()(bufferevent* it) const { bufferevent_free(it); }
};

struct event_deleter {
    void operator()(event* it) const { event_free(it); }
};

struct listener_deleter {
    void operator()(evconnlistener* it) const { evconnlistener_free(it); }
};

/// Owning pointers to libevent's objects.
using bufferevent_pointer = std::unique_ptr<bufferevent, bufferevent_deleter>;
using event_pointer = std::unique_ptr<event, event_deleter>;
using listener_pointer = std::unique_ptr<evconnlistener, listener_deleter>;

} // namespace hemlocknotch::detail
