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

/// An evhttp server. Used by the event loop's thread only.
class http_server {
public:
    /// Creates a server that does not listen yet. `base` must outlive it.
    explicit http_server(event_base* base);

    /// Listens on `address`. Returns the address, with the port that the system chose if the port was 0, or a
    /// `start_error` that names `purpose`, the address and the reason.
    boost::leaf::result<endpoint_address> listen(const endpoint_address& address, std::string_view purpose);

    /// Returns the evhttp object, to configure it further.
    [[nodiscard]] evhttp* handle() const { return server_.get(); }

private:
    evhttp_ptr server_;
};

/// Returns the headers of a request or an answer in the order in which they arrived.
std::vector<header_field> headers_of(const evkeyvalq* headers);

/// Returns the method of `request` as text, such as `GET`.
std::string_view method_of(const evhttp_request* request);

/// Returns evhttp's command for a method such as `GET`; nothing if evhttp does not know the method.
std::optional<evhttp_cmd_type> command_of(std::string_view method);

/// Returns all bytes of `buf` and removes them from it.
std::string take_bytes(evbuffer* buf);

} // namespace hemlocknotch::daemon
