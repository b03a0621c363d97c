#include "page_server.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hemlocknotch::daemon {

page_server::page_server(event_base* base, page_source source) : source_{std::move(source)}, server_{base}
{
    assert(source_);
    evhttp_set_gencb(server_.handle(), handle_request, this);
}

boost::leaf::result<endpoint_address> page_server::listen(const endpoint_address& address,
                                                          std::string_view purpose)
{
    return server_.listen(address, purpose);
}

void page_server::handle_request(evhttp_request* request, void* self)
{
    const auto& that = *static_cast<page_server*>(self);
    const std::string_view target = evhttp_request_get_uri(request);
    const auto path = target.substr(0, target.find('?'));
    const auto it = that.source_(path, target.substr(std::min(target.size(), path.size() + 1)));
    const evbuffer_ptr buf{evbuffer_new()};
    evbuffer_add(buf.get(), it.body.data(), it.body.size());
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                      "text/plain; version=0.0.4");
    evhttp_send_reply(request, it.status, nullptr, buf.get());
}

} // namespace hemlocknotch::daemon
