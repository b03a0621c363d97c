#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>

#include "http_server.hpp"

#include <boost/leaf/result.hpp>

#include <string>

namespace hemlocknotch::daemon {

/// What a daemon tells its operators.
class operator_pages {
public:
    virtual ~operator_pages() = default;

    /// Returns why no new work is taken; empty where it is.
    virtual std::string unready_reason() = 0;

    /// Returns the metrics in the Prometheus text format.
    virtual std::string metrics_page() = 0;

    /// Returns the status as JSON (docs/INTERFACES.md).
    virtual std::string status_page() = 0;
};

/// Operators' HTTP interface of a daemon. Used by the event loop's thread only.
class operator_http_server {
public:
    /// `base` and `pages` must outlive the front.
    operator_http_server(event_base* base, operator_pages& pages);

    /// Listens on `address`. Returns the address listened on, or a `start_error`.
    boost::leaf::result<endpoint_address> listen(const endpoint_address& address);

private:
    static void handle_request(evhttp_request* request, void* self);

    operator_pages& pages_;
    http_server server_;
};

} // namespace hemlocknotch::daemon
