#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/time.hpp>

#include "libevent_handles.hpp"

#include <functional>
#include <optional>
#include <string>

namespace hemlocknotch::daemon {

/// Fetches small pages by GET over one kept connection. Used by the event loop's thread only.
class page_client {
public:
    /// Receives the body of a whole answer with status 200, or nothing. Called once for each fetch, at the
    /// earliest from within it, and not after the client is destroyed.
    using callback = std::function<void(const std::optional<std::string>&)>;

    /// `base` must outlive the client. A fetch without an answer after `limit` has failed.
    page_client(event_base* base, const endpoint_address& address, duration limit);

    /// Fetches `target`. Does nothing and returns false while another fetch is under way.
    bool fetch(const std::string& target, callback done);

private:
    static void handle_done(evhttp_request* request, void* self);

    endpoint_address address_;
    callback done_;
    evhttp_connection_ptr connection_;
};

} // namespace hemlocknotch::daemon
