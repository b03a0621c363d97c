#include "endpoint_call.hpp"

#include "caller_headers.hpp"
#include "http_server.hpp"

#include <cassert>
#include <charconv>
#include <string_view>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

constexpr int not_found = 404;
constexpr int unavailable = 503;
constexpr int no_content = 204;
constexpr int not_modified = 304;

std::string_view header_of(evhttp_request* request, const char* name)
{
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? std::string_view{} : std::string_view{value};
}

std::uint64_t incarnation_of(evhttp_request* request)
{
    const auto text = header_of(request, "X-Incarnation");
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

bool has_end_mark(evhttp_request* request)
{
    const auto status = evhttp_request_get_response_code(request);
    return status == no_content || status == not_modified ||
           evhttp_request_get_command(request) == EVHTTP_REQ_HEAD ||
           !header_of(request, "Content-Length").empty() ||
           is_same_header(header_of(request, "Transfer-Encoding"), "chunked");
}

} // namespace

endpoint_call::endpoint_call(event_base* base, call_id number, const endpoint_address& endpoint,
                             const endpoint_request& request, const endpoint_call_options& options,
                             endpoint_sink& sink, done_callback done)
    : number_{number},
      options_{options},
      sink_{sink},
      done_{std::move(done)},
      flush_{base, [this] { flush_part(); }},
      refused_{base, [this] { end(call_outcome::not_started); }},
      connection_{evhttp_connection_base_new(base, nullptr, endpoint.host().c_str(), endpoint.port())}
{
    const auto command = command_of(request.method);
    assert(command);
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(options.silence_limit);
    evhttp_connection_set_timeout(connection_.get(), static_cast<int>(seconds.count()));
    auto* http = evhttp_request_new(handle_done, this);
    evhttp_request_set_header_cb(http, handle_head);
    evhttp_request_set_chunked_cb(http, handle_part);
    evhttp_request_set_error_cb(http, handle_error);
    auto* headers = evhttp_request_get_output_headers(http);
    for (const auto& field : request.headers) {
        evhttp_add_header(headers, field.name.c_str(), field.value.c_str());
    }
    evhttp_add_header(headers, "Connection", "close");
    evbuffer_add(evhttp_request_get_output_buffer(http), request.body.data(), request.body.size());
    if (evhttp_make_request(connection_.get(), http, *command, request.target.c_str()) != 0) {
        // The system had no socket to give, or refused the connection at once.
        refused_.activate();
    }
    is_constructed_ = true;
}

int endpoint_call::handle_head(evhttp_request* request, void* self)
{
    return static_cast<endpoint_call*>(self)->take_head(request) ? 0 : -1;
}

void endpoint_call::handle_part(evhttp_request* request, void* self)
{
    auto& call = *static_cast<endpoint_call*>(self);
    if (call.is_silenced_) {
        return;
    }
    auto* buf = evhttp_request_get_input_buffer(request);
    const auto size = call.pending_.size();
    call.pending_.resize(size + evbuffer_get_length(buf));
    evbuffer_remove(buf, call.pending_.data() + size, call.pending_.size() - size);
    // Chunks that came in one read are passed on as one part.
    call.flush_.activate();
}

void endpoint_call::handle_error(evhttp_request_error /*error*/, void* self)
{
    static_cast<endpoint_call*>(self)->has_failed_ = true;
}

void endpoint_call::handle_done(evhttp_request* request, void* self)
{
    auto& call = *static_cast<endpoint_call*>(self);
    if (call.has_head_) {
        const auto is_whole = request != nullptr && !call.has_failed_ && call.is_framed_;
        call.end(is_whole ? call_outcome::complete : call_outcome::broken);
        return;
    }
    // evhttp hands over a request without status only where no connection came about.
    const auto was_connected = request == nullptr || evhttp_request_get_response_code(request) != 0;
    call.end(was_connected ? call_outcome::broken : call_outcome::not_started);
}

bool endpoint_call::take_head(evhttp_request* request)
{
    if (is_silenced_) {
        return false;
    }
    const auto status = evhttp_request_get_response_code(request);
    if (status == unavailable && header_of(request, "X-Not-Run") == "1") {
        end(call_outcome::not_started);
        return false;
    }
    if (options_.is_resume && status == not_found) {
        end(call_outcome::broken);
        return false;
    }
    has_head_ = true;
    is_framed_ = has_end_mark(request);
    endpoint_head_event head{number_, static_cast<std::uint32_t>(status), {}, incarnation_of(request)};
    for (auto& field : headers_of(evhttp_request_get_input_headers(request))) {
        if (!is_hop_by_hop_header(field.name)) {
            head.headers.push_back(std::move(field));
        }
    }
    sink_.on_head(std::move(head));
    return !is_silenced_;
}

void endpoint_call::end(call_outcome outcome)
{
    if (is_silenced_) {
        return;
    }
    if (!is_constructed_) {
        // evhttp reports a connection that is refused at once from within the start of the call.
        refused_.activate();
        return;
    }
    flush_part();
    if (is_silenced_) {
        return;
    }
    is_silenced_ = true;
    sink_.on_end({number_, outcome});
    done_(number_);
}

void endpoint_call::flush_part()
{
    if (is_silenced_ || pending_.empty()) {
        return;
    }
    sink_.on_part({number_, std::exchange(pending_, {})});
}

} // namespace hemlocknotch::daemon
