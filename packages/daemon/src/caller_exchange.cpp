#include "caller_exchange.hpp"

#include "libevent_handles.hpp"

#include <event2/bufferevent.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

/// Bytes that a caller may send ahead, such as its next request, while its answer is being made.
constexpr std::size_t max_early_bytes = 64U << 10U;

} // namespace

caller_exchange::caller_exchange(exchange_id number, evhttp_request* request,
                                 connection_output_monitor& outputs, gone_callback gone)
    : number_{number},
      outputs_{outputs},
      gone_{std::move(gone)},
      request_{request},
      connection_{evhttp_request_get_connection(request)},
      stream_{evhttp_connection_get_bufferevent(connection_)},
      output_{bufferevent_get_output(stream_)}
{
    evhttp_connection_set_closecb(connection_, handle_close, this);
    // evhttp stops reading while an answer is made. Reading goes on here, without evhttp's read function, so
    // that a caller that closes its connection is seen.
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
    outputs_.begin(output_, number_);
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
    give_back();
    evhttp_send_reply_end(std::exchange(request_, nullptr));
    outputs_.end(output_);
}

void caller_exchange::reply(int status, std::span<const header_field> headers, std::string_view body)
{
    assert(!is_started_);
    add_headers(headers);
    const evbuffer_ptr buf{evbuffer_new()};
    evbuffer_add(buf.get(), body.data(), body.size());
    outputs_.begin(output_, number_);
    give_back();
    evhttp_send_reply(std::exchange(request_, nullptr), status, nullptr, buf.get());
    outputs_.end(output_);
}

void caller_exchange::abort()
{
    evhttp_connection_set_closecb(connection_, nullptr, nullptr);
    outputs_.forget(output_);
    evhttp_connection_free(connection_);
    request_ = nullptr;
    forget_connection();
}

void caller_exchange::handle_close(evhttp_connection* /*connection*/, void* self)
{
    auto& exchange = *static_cast<caller_exchange*>(self);
    exchange.outputs_.forget(exchange.output_);
    exchange.forget_connection();
    const auto gone = exchange.gone_;
    gone(exchange.number_);
}

void caller_exchange::handle_idle_close(evhttp_connection* connection, void* outputs)
{
    const auto* output = bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
    static_cast<connection_output_monitor*>(outputs)->forget(output);
}

void caller_exchange::forget_connection()
{
    connection_ = nullptr;
    stream_ = nullptr;
}

std::optional<std::uint64_t> caller_exchange::progress()
{
    if (stream_ == nullptr) {
        return std::nullopt;
    }
    const auto taken = body_bytes_ - std::min<std::uint64_t>(body_bytes_, evbuffer_get_length(output_));
    if (taken <= reported_bytes_) {
        return std::nullopt;
    }
    reported_bytes_ = taken;
    return taken;
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
    // Writing at once spares two changes of the event loop's set of descriptors for each part. What the
    // system does not take, and errors, are left to the bufferevent.
    constexpr int at_front = 1;
    evbuffer_unfreeze(output_, at_front);
    evbuffer_write(output_, bufferevent_getfd(stream_));
    evbuffer_freeze(output_, at_front);
    if (evbuffer_get_length(output_) == 0) {
        bufferevent_disable(stream_, EV_WRITE);
    }
}

void caller_exchange::give_back()
{
    evhttp_connection_set_closecb(connection_, handle_idle_close, &outputs_);
    bufferevent_setwatermark(stream_, EV_READ, 0, 0);
    forget_connection();
}

} // namespace hemlocknotch::daemon
