#include "caller_exchange.hpp"

#include "libevent_handles.hpp"

#include <event2/bufferevent.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace hemlocknotch {
namespace {

/// Bytes that a caller may send ahead, such as its next request, while its answer is being made.
constexpr std::size_t max_early_bytes = 64U << 10U;

} // namespace

caller_exchange::caller_exchange(exchange_id number, evhttp_request* request, gone_callback gone)
    : number_{number},
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
}

void caller_exchange::finish()
{
    assert(is_started_);
    give_back();
    evhttp_send_reply_end(std::exchange(request_, nullptr));
}

void caller_exchange::reply(int status, std::span<const header_field> headers, std::string_view body)
{
    assert(!is_started_);
    add_headers(headers);
    const evbuffer_ptr buf{evbuffer_new()};
    evbuffer_add(buf.get(), body.data(), body.size());
    give_back();
    evhttp_send_reply(std::exchange(request_, nullptr), status, nullptr, buf.get());
}

void caller_exchange::abort()
{
    evhttp_connection_set_closecb(connection_, nullptr, nullptr);
    evhttp_connection_free(connection_);
    request_ = nullptr;
    forget_connection();
}

void caller_exchange::handle_close(evhttp_connection* /*connection*/, void* self)
{
    auto& exchange = *static_cast<caller_exchange*>(self);
    exchange.forget_connection();
    const auto gone = exchange.gone_;
    gone(exchange.number_);
}

void caller_exchange::forget_connection()
{
    connection_ = nullptr;
    stream_ = nullptr;
}

std::optional<std::uint64_t> caller_exchange::progress(std::size_t step)
{
    if (stream_ == nullptr) {
        return std::nullopt;
    }
    const auto taken = body_bytes_ - std::min<std::uint64_t>(body_bytes_, unsent_bytes());
    if (taken < reported_bytes_ + step) {
        return std::nullopt;
    }
    reported_bytes_ = taken;
    return taken;
}

std::size_t caller_exchange::unsent_bytes() const
{
    return stream_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(stream_));
}

void caller_exchange::add_headers(std::span<const header_field> headers)
{
    auto* out = evhttp_request_get_output_headers(request_);
    for (const auto& field : headers) {
        evhttp_add_header(out, field.name.c_str(), field.value.c_str());
    }
}

void caller_exchange::give_back()
{
    evhttp_connection_set_closecb(connection_, nullptr, nullptr);
    bufferevent_setwatermark(stream_, EV_READ, 0, 0);
    forget_connection();
}

} // namespace hemlocknotch
