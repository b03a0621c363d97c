#pragma once

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <memory>

/// Owning pointers to libevent's objects.
namespace hemlocknotch::daemon {

struct event_base_deleter {
    void operator()(event_base* base) const { event_base_free(base); }
};

struct event_config_deleter {
    void operator()(event_config* config) const { event_config_free(config); }
};

struct event_deleter {
    void operator()(event* it) const { event_free(it); }
};

struct evbuffer_deleter {
    void operator()(evbuffer* buf) const { evbuffer_free(buf); }
};

struct evhttp_deleter {
    void operator()(evhttp* server) const { evhttp_free(server); }
};

struct evhttp_connection_deleter {
    void operator()(evhttp_connection* connection) const { evhttp_connection_free(connection); }
};

using event_base_ptr = std::unique_ptr<event_base, event_base_deleter>;
using event_ptr = std::unique_ptr<event, event_deleter>;
using evbuffer_ptr = std::unique_ptr<evbuffer, evbuffer_deleter>;
using evhttp_ptr = std::unique_ptr<evhttp, evhttp_deleter>;
using evhttp_connection_ptr = std::unique_ptr<evhttp_connection, evhttp_connection_deleter>;

} // namespace hemlocknotch::daemon
