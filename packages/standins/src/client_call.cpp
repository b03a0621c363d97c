#include <hemlocknotch/standins/client_call.hpp>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <stdexcept>

namespace hemlocknotch::standins {
namespace {

/// evhttp gives up a connection on which nothing moves for this long. Callers bound their waiting themselves.
constexpr int idle_limit_seconds = 3600;

std::string header_of(evhttp_request* request, const char* name)
{
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? "" : value;
}

evhttp_cmd_type command_of(std::string_view method)
{
    if (method == "POST") {
        return EVHTTP_REQ_POST;
    }
    if (method == "PUT") {
        return EVHTTP_REQ_PUT;
    }
    return method == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

} // namespace

void client_call::connection_deleter::operator()(evhttp_connection* it) const
{
    evhttp_connection_free(it);
}

client_call::client_call(event_base* base, const endpoint_address& address, const call_request& request,
                         callbacks on)
    : on_{std::move(on)},
      connection_{evhttp_connection_base_new(base, nullptr, address.host().c_str(), address.port())}
{
    if (!connection_) {
        throw std::runtime_error{"no connection available"};
    }
    evhttp_connection_set_timeout(connection_.get(), idle_limit_seconds);
    evhttp_request* const message = evhttp_request_new(on_done, this);
    evhttp_request_set_header_cb(message, on_headers);
    evhttp_request_set_chunked_cb(message, on_chunk);
    evkeyvalq* const headers = evhttp_request_get_output_headers(message);
    evhttp_add_header(headers, "Host", address.to_string().c_str());
    evhttp_add_header(headers, "Connection", "close");
    for (const auto& [name, value] : request.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(message), request.body.data(), request.body.size());
    if (evhttp_make_request(connection_.get(), message, command_of(request.method), request.target.c_str()) !=
            0 &&
        on_.on_end) {
        on_.on_end(false);
    }
}

int client_call::on_headers(evhttp_request* request, void* self)
{
    auto* const call = static_cast<client_call*>(self);
    call->has_head_ = true;
    call_head head;
    head.status = evhttp_request_get_response_code(request);
    head.verdict = header_of(request, "Hemlocknotch-Verdict");
    head.retry_after = header_of(request, "Retry-After");
    head.request_id = header_of(request, "Hemlocknotch-Request-Id");
    head.is_framed =
        header_of(request, "Transfer-Encoding") == "chunked" || !header_of(request, "Content-Length").empty();
    if (call->on_.on_head) {
        call->on_.on_head(head);
    }
    return 0;
}

void client_call::on_chunk(evhttp_request* request, void* self)
{
    auto* const call = static_cast<client_call*>(self);
    evbuffer* const buf = evhttp_request_get_input_buffer(request);
    const std::size_t n = evbuffer_get_length(buf);
    std::string bytes(n, '\0');
    evbuffer_remove(buf, bytes.data(), n);
    if (call->on_.on_bytes && n > 0) {
        call->on_.on_bytes(bytes);
    }
}

void client_call::on_done(evhttp_request* request, void* self)
{
    auto* const call = static_cast<client_call*>(self);
    const bool is_whole =
        request != nullptr && call->has_head_ && evhttp_request_get_response_code(request) != 0;
    if (call->on_.on_end) {
        call->on_.on_end(is_whole);
    }
}

} // namespace hemlocknotch::standins
