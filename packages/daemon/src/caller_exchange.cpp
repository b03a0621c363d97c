#include "caller_exchange.hpp"

#include "libevent_handles.hpp"

#include <event2/bufferevent.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

/// Bytes that a caller may send ahead, such as its next request, before its answer is complete.
constexpr std::size_t max_early_bytes = 64U << 10U;

} // namespace

caller_exchange::caller_exchange(exchange_id number, evhttp_request* request,
                                 connection_output_monitor& outputs, disconnect_callback on_disconnect)
    : number_{number},
      outputs_{outputs},
      on_disconnect_{std::move(on_disconnect)},
      request_{request},
      connection_{evhttp_request_get_connection(request)},
      stream_{evhttp_connection_get_bufferevent(connection_)},
      output_{bufferevent_get_output(stream_)}
{
    evhttp_connection_set_closecb(connection_, handle_close, this);
    // evhttp stops reading until the answer is complete. Keep reading without evhttp's read callback, so that
    // a caller that closes its connection is noticed.
    bufferevent_data_cb read = nullptr;
    bufferevent_data_cb write = nullptr;
    bufferevent_event_cb event = nullptr;
    void* arg = nullptr;
    bufferevent_getcb(stream_, &read, &write, &event, &arg);
    bufferevent_setcb(stream_, nullptr, write, event, arg);
    bufferevent_setwatermark(stream_, EV_READ, 0, max_early_bytes);
    bufferevent_set_timeouts(stream_, nullptr, nullptr);
    bufferevent_enable(stream_, EV_READ);
}

caller_exchange::~caller_exchange()
{
    if (request_ != nullptr) {
        assert(connection_ == nullptr);
        evhttp_request_free(request_);
    }
}

void caller_exchange::start(int status, std::span<const header_field> headers)
{
    assert(!is_started_);
    is_started_ = true;
    add_headers(headers);
    outputs_.begin_answer(output_, number_);
    evhttp_send_reply_start(request_, status, nullptr);
}

void caller_exchange::send(std::string_view bytes)
{
    assert(is_started_);
    if (bytes.empty()) {
        return;
    }
    body_bytes_ += bytes.size();
    const evbuffer_ptr buf{evbuffer_new()};
    evbuffer_add(buf.get(), bytes.data(), bytes.size());
    evhttp_send_reply_chunk(request_, buf.get());
    write_now();
}

void caller_exchange::finish()
{
    assert(is_started_);
    release_connection();
    evhttp_send_reply_end(std::exchange(request_, nullptr));
    outputs_.end_answer(output_);
}

void caller_exchange::reply(int status, std::span<const header_field> headers, std::string_view body)
{
    assert(!is_started_);
    add_headers(headers);
    const evbuffer_ptr buf{evbuffer_new()};
    evbuffer_add(buf.get(), body.data(), body.size());
    outputs_.begin_answer(output_, number_);
    release_connection();
    evhttp_send_reply(std::exchange(request_, nullptr), status, nullptr, buf.get());
    outputs_.end_answer(output_);
}

void caller_exchange::abort()
{
    evhttp_connection_set_closecb(connection_, nullptr, nullptr);
    outputs_.remove(output_);
    evhttp_connection_free(connection_);
    request_ = nullptr;
    clear_connection();
}

void caller_exchange::handle_close(evhttp_connection* /*connection*/, void* self)
{
    auto& exchange = *static_cast<caller_exchange*>(self);
    exchange.outputs_.remove(exchange.output_);
    exchange.clear_connection();
    const auto on_disconnect = exchange.on_disconnect_;
    on_disconnect(exchange.number_);
}

void caller_exchange::handle_idle_close(evhttp_connection* connection, void* outputs)
{
    const auto* output = bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
    static_cast<connection_output_monitor*>(outputs)->remove(output);
}

void caller_exchange::clear_connection()
{
    connection_ = nullptr;
    stream_ = nullptr;
}

std::optional<std::uint64_t> caller_exchange::progress()
{
    if (stream_ == nullptr) {
        return std::nullopt;
    }
    const auto written_bytes =
        body_bytes_ - std::min<std::uint64_t>(body_bytes_, evbuffer_get_length(output_));
    if (written_bytes <= reported_bytes_) {
        return std::nullopt;
    }
    reported_bytes_ = written_bytes;
    return written_bytes;
}

void caller_exchange::close_after_answer()
{
    assert(!is_started_);
    evhttp_add_header(evhttp_request_get_output_headers(request_), "Connection", "close");
}

void caller_exchange::add_headers(std::span<const header_field> headers)
{
    auto* out = evhttp_request_get_output_headers(request_);
    for (const auto& field : headers) {
        evhttp_add_header(out, field.name.c_str(), field.value.c_str());
    }
}

void caller_exchange::write_now()
{
    // Writing at once saves two changes of the event loop's set of descriptors for each part. The bufferevent
    // writes what the socket does not accept now, and handles errors.
    constexpr int at_front = 1;
    evbuffer_unfreeze(output_, at_front);
    evbuffer_write(output_, bufferevent_getfd(stream_));
    evbuffer_freeze(output_, at_front);
    if (evbuffer_get_length(output_) == 0) {
        bufferevent_disable(stream_, EV_WRITE);
    }
}

void caller_exchange::release_connection()
{
    evhttp_connection_set_closecb(connection_, handle_idle_close, &outputs_);
    bufferevent_setwatermark(stream_, EV_READ, 0, 0);
    clear_connection();
}

} // namespace hemlocknotch::daemon
