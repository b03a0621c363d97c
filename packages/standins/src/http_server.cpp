#include <hemlocknotch/standins/http_server.hpp>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <cassert>
#include <charconv>
#include <iostream>
#include <stdexcept>
#include <utility>

namespace hemlocknotch::standins {
namespace {

constexpr int any_method = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                           EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;
constexpr ev_ssize_t max_body_bytes = 32L * 1024 * 1024;

std::uint16_t bound_port(evhttp_bound_socket* listener)
{
    sockaddr_storage storage{};
    socklen_t size = sizeof storage;
    if (getsockname(evhttp_bound_socket_get_fd(listener), reinterpret_cast<sockaddr*>(&storage), &size) !=
        0) {
        throw std::runtime_error{"the listener has no address"};
    }
    if (storage.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port);
    }
    return ntohs(reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

void close_connection_of(evhttp_request* request)
{
    evhttp_connection* connection = evhttp_request_get_connection(request);
    if (connection == nullptr) {
        evhttp_send_reply_end(request);
        return;
    }
    evhttp_connection_free(connection);
}

} // namespace

std::string http_request::method() const
{
    switch (evhttp_request_get_command(request_)) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    default:
        return "PATCH";
    }
}

std::string http_request::path() const
{
    const std::string whole = target();
    return whole.substr(0, whole.find('?'));
}

std::string http_request::target() const
{
    const char* uri = evhttp_request_get_uri(request_);
    return uri == nullptr ? "/" : uri;
}

std::optional<std::string> http_request::query(std::string_view name) const
{
    const std::string whole = target();
    const auto mark = whole.find('?');
    if (mark == std::string::npos) {
        return std::nullopt;
    }
    evkeyvalq fields{};
    if (evhttp_parse_query_str(whole.c_str() + mark + 1, &fields) != 0) {
        return std::nullopt;
    }
    const char* found = evhttp_find_header(&fields, std::string{name}.c_str());
    std::optional<std::string> value;
    if (found != nullptr) {
        value = found;
    }
    evhttp_clear_headers(&fields);
    return value;
}

std::optional<std::uint64_t> http_request::query_number(std::string_view name) const
{
    const auto text = query(name);
    if (!text) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const char* const end = text->data() + text->size();
    const auto [it, ec] = std::from_chars(text->data(), end, value);
    if (ec != std::errc{} || it != end) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::string> http_request::header(std::string_view name) const
{
    const char* found =
        evhttp_find_header(evhttp_request_get_input_headers(request_), std::string{name}.c_str());
    if (found == nullptr) {
        return std::nullopt;
    }
    return std::string{found};
}

std::string http_request::body() const
{
    evbuffer* buf = evhttp_request_get_input_buffer(request_);
    const std::size_t n = evbuffer_get_length(buf);
    std::string text(n, '\0');
    evbuffer_copyout(buf, text.data(), n);
    return text;
}

void http_request::add_answer_header(std::string_view name, std::string_view value) const
{
    evhttp_add_header(evhttp_request_get_output_headers(request_), std::string{name}.c_str(),
                      std::string{value}.c_str());
}

void http_request::reply(int status, std::string_view body) const
{
    evbuffer_add(evhttp_request_get_output_buffer(request_), body.data(), body.size());
    evhttp_send_reply(request_, status, nullptr, nullptr);
}

void http_request::reply_json(int status, const nlohmann::json& body) const
{
    add_answer_header("Content-Type", "application/json");
    reply(status, body.dump());
}

void http_request::drop() const
{
    close_connection_of(request_);
}

response_stream::response_stream(http_request request, int status) : request_{request.get()}
{
    evhttp_send_reply_start(request_, status, nullptr);
}

response_stream::~response_stream()
{
    abort();
}

bool response_stream::is_open() const
{
    return request_ != nullptr && evhttp_request_get_connection(request_) != nullptr;
}

void response_stream::write(std::string_view bytes)
{
    if (!is_open() || bytes.empty()) {
        return;
    }
    evbuffer* buf = evhttp_request_get_output_buffer(request_);
    evbuffer_add(buf, bytes.data(), bytes.size());
    evhttp_send_reply_chunk(request_, buf);
}

void response_stream::finish()
{
    if (request_ != nullptr) {
        evhttp_send_reply_end(std::exchange(request_, nullptr));
    }
}

void response_stream::abort()
{
    if (request_ != nullptr) {
        close_connection_of(std::exchange(request_, nullptr));
    }
}

void http_server::server_deleter::operator()(evhttp* it) const
{
    evhttp_free(it);
}

http_server::http_server(event_base* base, handler on_request)
    : base_{base}, on_request_{std::move(on_request)}
{
    make_server();
}

http_server::~http_server() = default;

void http_server::make_server()
{
    server_.reset(evhttp_new(base_));
    if (!server_) {
        throw std::runtime_error{"no HTTP server available"};
    }
    evhttp_set_allowed_methods(server_.get(), any_method);
    evhttp_set_max_body_size(server_.get(), max_body_bytes);
    evhttp_set_gencb(server_.get(), on_any_request, this);
}

void http_server::listen(const endpoint_address& address)
{
    assert(listener_ == nullptr);
    listener_ = evhttp_bind_socket_with_handle(server_.get(), address.host().c_str(), address.port());
    if (listener_ == nullptr) {
        throw std::runtime_error{"cannot listen at " + address.to_string()};
    }
    // Accepted connections take over the option; small parts go out at once.
    const int enabled = 1;
    setsockopt(evhttp_bound_socket_get_fd(listener_), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    const std::string host =
        address.host().find(':') == std::string::npos ? address.host() : "[" + address.host() + "]";
    address_ = endpoint_address::parse(host + ":" + std::to_string(bound_port(listener_)));
    assert(address_);
}

void http_server::close_listener()
{
    if (listener_ != nullptr) {
        evhttp_del_accept_socket(server_.get(), std::exchange(listener_, nullptr));
    }
}

void http_server::close_all()
{
    listener_ = nullptr;
    make_server();
}

void http_server::on_any_request(evhttp_request* request, void* self)
{
    static_cast<http_server*>(self)->on_request_(http_request{request});
}

endpoint_address listening_address(std::string_view text)
{
    const auto address = endpoint_address::parse(text);
    if (!address) {
        throw std::runtime_error{"'" + std::string{text} + "' is no address; give one such as 127.0.0.1:0"};
    }
    return *address;
}

void print_listening(const nlohmann::json& addresses)
{
    std::cout << nlohmann::json{{"listening", addresses}}.dump() << std::endl;
}

} // namespace hemlocknotch::standins
