#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/message.hpp>

#include "libevent_handles.hpp"

#include <boost/leaf/result.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::daemon {

/// An evhttp server on one address. Used by the event loop's thread only.
class http_server {
public:
    /// Makes a server that listens nowhere yet. `base` must outlive it.
    explicit http_server(event_base* base);

    /// Listens on `address`. Returns the address with the port that the system chose where 0 was asked for,
    /// or a `start_error` that names `purpose`, the address and the reason.
    boost::leaf::result<endpoint_address> listen(const endpoint_address& address, std::string_view purpose);

    /// Returns evhttp's own object for further settings.
    [[nodiscard]] evhttp* handle() const { return server_.get(); }

private:
    evhttp_ptr server_;
};

/// Returns the headers of a request or an answer in the order they came.
std::vector<header_field> headers_of(const evkeyvalq* headers);

/// Returns the method of `request` as text, such as `GET`.
std::string_view method_of(const evhttp_request* request);

/// Returns evhttp's command for a method's text; nothing where it knows none.
std::optional<evhttp_cmd_type> command_of(std::string_view method);

/// Returns all bytes of `buf` and removes them from it.
std::string take_bytes(evbuffer* buf);

} // namespace hemlocknotch::daemon
