#include <hemlocknotch/coordination/http_client.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cassert>
#include <cctype>
#include <charconv>
#include <new>
#include <utility>

namespace hemlocknotch {
namespace {

constexpr std::size_t max_idle_connections = 8;
constexpr ev_ssize_t max_headers_bytes = ev_ssize_t{64} * 1024;
constexpr ev_ssize_t max_body_bytes = ev_ssize_t{4} * 1024 * 1024;
/// Maximum number of received bytes that are not parsed yet. A body with a length is parsed once it is
/// complete; evhttp has no limit of its own for the framing of chunks.
constexpr std::size_t max_unparsed_bytes = max_body_bytes + max_headers_bytes;
/// Answers below this status are interim ones, of which evhttp reports the first as if it were the answer.
constexpr int first_final_status = 200;

struct event_deleter {
    void operator()(event* value) const { event_free(value); }
};

timeval to_timeval(duration value)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(value);
    timeval tv{};
    tv.tv_sec = seconds.count();
    tv.tv_usec = (value - seconds).count();
    return tv;
}

evhttp_cmd_type evhttp_command_of(http_method method)
{
    switch (method) {
    case http_method::get:
        return EVHTTP_REQ_GET;
    case http_method::put:
        return EVHTTP_REQ_PUT;
    case http_method::post:
        return EVHTTP_REQ_POST;
    case http_method::remove:
        return EVHTTP_REQ_DELETE;
    }
    assert(false);
    return EVHTTP_REQ_GET;
}

http_answer read_answer(evhttp_request* request)
{
    http_answer answer;
    answer.status = evhttp_request_get_response_code(request);
    if (answer.status < first_final_status) {
        answer.status = 0;
        return answer;
    }
    evbuffer* body = evhttp_request_get_input_buffer(request);
    answer.body.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, answer.body.data(), answer.body.size());
    const evkeyvalq* headers = evhttp_request_get_input_headers(request);
    for (const evkeyval* it = headers->tqh_first; it != nullptr; it = it->next.tqe_next) {
        std::string name = it->key;
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        answer.headers.insert_or_assign(std::move(name), it->value);
    }
    return answer;
}

} // namespace

void http_connection_deleter::operator()(evhttp_connection* connection) const
{
    evhttp_connection_free(connection);
}

std::uint64_t http_answer::number(std::string_view name) const
{
    const auto it = headers.find(name);
    if (it == headers.end()) {
        return 0;
    }
    std::uint64_t n = 0;
    const char* end = it->second.data() + it->second.size();
    const auto [stop, ec] = std::from_chars(it->second.data(), end, n);
    return ec == std::errc{} && stop == end ? n : 0;
}

/// A call in progress. Its timer fires at the timeout, and is activated early once the answer is complete or
/// the call has failed. The callback thus never runs within evhttp, where freeing a connection is not safe.
class http_client::exchange {
public:
    exchange(http_client& owner, http_connection_ptr connection, callback done)
        : owner_{owner},
          connection_{std::move(connection)},
          done_{std::move(done)},
          timer_{event_new(owner.base_, -1, 0, &exchange::on_timer, this)}
    {
        if (!timer_) {
            throw std::bad_alloc{};
        }
    }

    void start(const http_call& call, const std::string& host, duration timeout)
    {
        const timeval tv = to_timeval(timeout);
        event_add(timer_.get(), &tv);
        evhttp_connection_set_timeout_tv(connection_.get(), &tv);
        evhttp_request* request = evhttp_request_new(&exchange::on_done, this);
        if (request == nullptr) {
            throw std::bad_alloc{};
        }
        evhttp_request_set_error_cb(request, &exchange::on_error);
        evkeyvalq* headers = evhttp_request_get_output_headers(request);
        evhttp_add_header(headers, "Host", host.c_str());
        if (!call.content_type.empty()) {
            evhttp_add_header(headers, "Content-Type", call.content_type.c_str());
        }
        evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
        // Takes ownership of the request, also if it fails.
        if (evhttp_make_request(connection_.get(), request, evhttp_command_of(call.method),
                                call.target.c_str()) != 0) {
            event_active(timer_.get(), EV_TIMEOUT, 0);
        }
    }

    /// Returns the connection if it can be reused; null if not.
    http_connection_ptr release_connection()
    {
        return answer_.status != 0 ? std::move(connection_) : nullptr;
    }

    void invoke_callback() const { done_(answer_); }

private:
    static void on_done(evhttp_request* request, void* self)
    {
        auto* that = static_cast<exchange*>(self);
        if (request != nullptr) {
            that->answer_ = read_answer(request);
        }
        event_active(that->timer_.get(), EV_TIMEOUT, 0);
    }

    /// Called before `on_done`, with the same argument.
    static void on_error(evhttp_request_error error, void* self)
    {
        static_cast<exchange*>(self)->answer_.is_too_large = error == EVREQ_HTTP_DATA_TOO_LONG;
    }

    static void on_timer(evutil_socket_t /*fd*/, short /*what*/, void* self)
    {
        auto* that = static_cast<exchange*>(self);
        that->owner_.finish(*that);
    }

    http_client& owner_;
    http_connection_ptr connection_;
    callback done_;
    std::unique_ptr<event, event_deleter> timer_;
    http_answer answer_;
};

http_client::http_client(event_base* base, endpoint_address address)
    : base_{base}, address_{std::move(address)}
{
    assert(base != nullptr);
}

http_client::~http_client() = default;

http_connection_ptr http_client::take_connection()
{
    if (!idle_.empty()) {
        http_connection_ptr connection = std::move(idle_.back());
        idle_.pop_back();
        return connection;
    }
    http_connection_ptr connection{
        evhttp_connection_base_new(base_, nullptr, address_.host().c_str(), address_.port())};
    if (!connection) {
        throw std::bad_alloc{};
    }
    evhttp_connection_set_max_headers_size(connection.get(), max_headers_bytes);
    evhttp_connection_set_max_body_size(connection.get(), max_body_bytes);
    bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection.get()), EV_READ, 0,
                             max_unparsed_bytes);
    return connection;
}

void http_client::send(const http_call& call, duration timeout, callback done)
{
    assert(timeout > duration::zero());
    running_.push_back(std::make_unique<exchange>(*this, take_connection(), std::move(done)));
    running_.back()->start(call, address_.to_string(), timeout);
}

void http_client::finish(exchange& value)
{
    const auto it =
        std::find_if(running_.begin(), running_.end(), [&](const auto& e) { return e.get() == &value; });
    assert(it != running_.end());
    const std::unique_ptr<exchange> ended = std::move(*it);
    running_.erase(it);
    http_connection_ptr connection = ended->release_connection();
    if (!connection) {
        // What broke this connection, such as a partition, may have broken the idle ones too.
        idle_.clear();
    }
    else if (idle_.size() < max_idle_connections) {
        idle_.push_back(std::move(connection));
    }
    // The callback may destroy this client, so no member is used after it.
    ended->invoke_callback();
}

std::string encode_path(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unescaped = "-._~/";
    std::string encoded;
    for (const char c : text) {
        const auto n = static_cast<unsigned char>(c);
        if (std::isalnum(n) != 0 || unescaped.find(c) != std::string_view::npos) {
            encoded += c;
        }
        else {
            encoded += '%';
            encoded += digits[n >> 4U];
            encoded += digits[n & 15U];
        }
    }
    return encoded;
}

} // namespace hemlocknotch
