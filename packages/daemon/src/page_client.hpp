#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/time.hpp>

#include "libevent_handles.hpp"

#include <functional>
#include <optional>
#include <string>

namespace hemlocknotch::daemon {

/// Fetches small pages by GET over one persistent connection. Used by the event loop's thread only.
class page_client {
public:
    /// Receives the body of a complete answer with status 200, or nothing if the fetch failed. Called once
    /// for each fetch, possibly from within `fetch`, and not after the client is destroyed.
    using callback = std::function<void(const std::optional<std::string>&)>;

    /// `base` must outlive the client. A fetch fails if there is no answer within `timeout`.
    page_client(event_base* base, const endpoint_address& address, duration timeout);

    /// Fetches `target`. Does nothing and returns false while another fetch is in progress.
    bool fetch(const std::string& target, callback done);

private:
    static void handle_done(evhttp_request* request, void* self);

    endpoint_address address_;
    callback done_;
    evhttp_connection_ptr connection_;
};

} // namespace hemlocknotch::daemon
