#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>

#include "../http_server.hpp"

#include <boost/leaf/result.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace hemlocknotch::daemon {

/// Status and body of a page.
struct page {
    int status = 404;
    std::string body;
};

/// Serves text pages over HTTP: readiness, metrics and the registry. Used on the event loop's thread only.
class page_server {
public:
    /// Returns the page at `path` for `query`, which is what follows the question mark of the target.
    using page_source = std::function<page(std::string_view path, std::string_view query)>;

    /// `base` must outlive the server. Precondition: `source` is not empty.
    page_server(event_base* base, page_source source);

    /// Listens on `address`. Returns the address with the actual port, or a `start_error` that names
    /// `purpose`.
    boost::leaf::result<endpoint_address> listen(const endpoint_address& address, std::string_view purpose);

private:
    static void handle_request(evhttp_request* request, void* self);

    page_source source_;
    http_server server_;
};

} // namespace hemlocknotch::daemon
