#include "caller_http_server.hpp"

#include "caller_headers.hpp"
#include "refusal_document.hpp"

#include <event2/http_struct.h>

#include <cassert>
#include <utility>
#include <variant>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

constexpr std::string_view request_id_header = "Hemlocknotch-Request-Id";
constexpr std::string_view verdict_header = "Hemlocknotch-Verdict";
constexpr int too_large_status = 413;
/// Ids of the requests that this server refuses are numbered from here on; the reducer numbers its own from
/// 1.
constexpr std::uint64_t first_refused_sequence = std::uint64_t{1} << 63U;

std::vector<header_field> refusal_headers(const request_id& id, const refusal& reason)
{
    std::vector<header_field> out{{"Content-Type", "application/json"},
                                  {std::string{request_id_header}, id.to_string()},
                                  {std::string{verdict_header}, std::string{to_string(reason.outcome)}}};
    if (auto seconds = retry_after_of(reason); !seconds.empty()) {
        out.push_back({"Retry-After", std::move(seconds)});
    }
    return out;
}

bool is_forwarded_to_caller(const header_field& field)
{
    return !is_hop_by_hop_header(field.name) && !is_same_header(field.name, request_id_header) &&
           !is_same_header(field.name, verdict_header);
}

/// Returns why the request line cannot be accepted; empty if it can.
std::string_view request_line_error(const evhttp_request* request)
{
    if (request->major != 1 || request->minor != 1) {
        return "The request line names another version; allowed: HTTP/1.1.";
    }
    if (evhttp_request_get_command(request) == EVHTTP_REQ_CONNECT) {
        return "The method is CONNECT; allowed: any other method.";
    }
    return {};
}

/// Returns whether the request has a body that evhttp does not read because of the method. evhttp would parse
/// that body as the next request.
bool has_unread_body(evhttp_request* request)
{
    switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_POST:
    case EVHTTP_REQ_PUT:
    case EVHTTP_REQ_PATCH:
        return false;
    default:
        break;
    }
    const auto* headers = evhttp_request_get_input_headers(request);
    const char* length = evhttp_find_header(headers, "Content-Length");
    return (length != nullptr && std::string_view{length} != "0") ||
           evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
}

} // namespace

caller_http_server::caller_http_server(event_base* base, const caller_http_server_options& options,
                                       caller_sink& sink)
    : options_{options},
      sink_{sink},
      outputs_{base, options.progress_step_bytes, [this](exchange_id exchange) { report_progress(exchange); },
               [this](int status) { return refusal_page(status); }},
      server_{base}
{
    auto* http = server_.handle();
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(options.idle_limit);
    evhttp_set_timeout(http, static_cast<int>(seconds.count()));
    evhttp_set_max_headers_size(http, static_cast<ev_ssize_t>(options.max_header_bytes));
    evhttp_set_max_body_size(http, static_cast<ev_ssize_t>(options.max_body_bytes));
    // Reads and discards an oversized body, so that its sender can read the refusal.
    evhttp_set_flags(http, EVHTTP_SERVER_LINGERING_CLOSE);
    evhttp_set_bevcb(http, handle_connection, this);
    evhttp_set_gencb(http, handle_request, this);
}

caller_http_server::~caller_http_server()
{
    for (auto& [number, exchange] : exchanges_) {
        exchange->abort();
    }
}

boost::leaf::result<endpoint_address> caller_http_server::listen(const endpoint_address& address)
{
    return server_.listen(address, "callers");
}

void caller_http_server::start_reply(const reply_head_effect& head)
{
    auto* exchange = find(head.exchange);
    if (exchange == nullptr || exchange->is_started()) {
        return;
    }
    std::vector<header_field> headers;
    headers.reserve(head.headers.size() + 2);
    for (const auto& field : head.headers) {
        if (is_forwarded_to_caller(field)) {
            headers.push_back(field);
        }
    }
    headers.push_back({std::string{request_id_header}, head.id.to_string()});
    headers.push_back({std::string{verdict_header}, std::string{to_string(verdict::ran)}});
    if (is_draining_) {
        exchange->close_after_answer();
    }
    exchange->start(static_cast<int>(head.status), headers);
}

void caller_http_server::send_part(const reply_part_effect& part)
{
    auto* exchange = find(part.exchange);
    if (exchange != nullptr && exchange->is_started()) {
        exchange->send(part.bytes);
    }
}

void caller_http_server::end_reply(exchange_id exchange)
{
    auto* it = find(exchange);
    if (it == nullptr || !it->is_started()) {
        return;
    }
    it->finish();
    drop(exchange);
}

void caller_http_server::abort_reply(exchange_id exchange)
{
    auto* it = find(exchange);
    if (it == nullptr) {
        return;
    }
    it->abort();
    drop(exchange);
}

void caller_http_server::refuse(const reply_refusal_effect& refused)
{
    auto* exchange = find(refused.exchange);
    if (exchange == nullptr) {
        return;
    }
    if (exchange->is_started()) {
        abort_reply(refused.exchange);
        return;
    }
    write_refusal(refused.exchange, refused.id, refused.reason, "");
}

void caller_http_server::handle_request(evhttp_request* request, void* self)
{
    static_cast<caller_http_server*>(self)->accept(request);
}

bufferevent* caller_http_server::handle_connection(event_base* /*base*/, void* self)
{
    return static_cast<caller_http_server*>(self)->outputs_.create_connection();
}

void caller_http_server::accept(evhttp_request* request)
{
    const auto number = ++last_exchange_;
    auto on_disconnect = [this](exchange_id exchange) { report_disconnect(exchange); };
    exchanges_.emplace(
        number, std::make_unique<caller_exchange>(number, request, outputs_, std::move(on_disconnect)));
    if (const auto detail = request_line_error(request); !detail.empty()) {
        refuse_malformed(number, detail);
        return;
    }
    if (has_unread_body(request)) {
        find(number)->close_after_answer();
        refuse_malformed(number, "The request has a body; allowed: a body with POST, PUT and PATCH only.");
        return;
    }
    const auto headers = headers_of(evhttp_request_get_input_headers(request));
    auto parsed_headers = read_caller_headers(headers);
    if (const auto* error = std::get_if<caller_header_error>(&parsed_headers)) {
        refuse_malformed(number, error->detail);
        return;
    }
    auto& event = std::get<caller_request_event>(parsed_headers);
    event.exchange = number;
    event.method = method_of(request);
    event.target = evhttp_request_get_uri(request);
    event.body = take_bytes(evhttp_request_get_input_buffer(request));
    sink_.on_request(std::move(event));
}

void caller_http_server::refuse_malformed(exchange_id exchange, std::string_view detail)
{
    const refusal reason{refusal_code::malformed_header, verdict::not_run, {}};
    write_refusal(exchange, next_refused_id(), reason, detail);
    sink_.on_refused_by_server(reason.code);
}

void caller_http_server::write_refusal(exchange_id exchange, const request_id& id, const refusal& reason,
                                       std::string_view detail)
{
    auto* it = find(exchange);
    assert(it != nullptr);
    if (is_draining_) {
        it->close_after_answer();
    }
    it->reply(http_status_of(reason.code), refusal_headers(id, reason), refusal_document(id, reason, detail));
    drop(exchange);
}

void caller_http_server::report_progress(exchange_id exchange)
{
    auto* it = find(exchange);
    if (it == nullptr) {
        return;
    }
    if (const auto written_bytes = it->progress()) {
        sink_.on_progress({exchange, *written_bytes});
    }
}

void caller_http_server::report_disconnect(exchange_id exchange)
{
    drop(exchange);
    sink_.on_disconnected({exchange});
}

std::string caller_http_server::refusal_page(int status)
{
    const auto is_too_large = status == too_large_status;
    const refusal reason{
        is_too_large ? refusal_code::body_too_large : refusal_code::malformed_header, verdict::not_run, {}};
    const auto id = next_refused_id();
    const auto body = refusal_document(
        id, reason,
        is_too_large
            ? "Allowed: at most " + std::to_string(options_.max_body_bytes) + " bytes of body and " +
                  std::to_string(options_.max_header_bytes) + " bytes of headers."
            : std::string{"The request line, a header or the framing of the body cannot be read; allowed: "
                          "HTTP/1.1 of RFC 9112."});
    std::string out = "HTTP/1.1 " + std::to_string(http_status_of(reason.code)) + " Refused\r\n";
    for (const auto& field : refusal_headers(id, reason)) {
        out += field.name + ": " + field.value + "\r\n";
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    sink_.on_refused_by_server(reason.code);
    return out;
}

request_id caller_http_server::next_refused_id()
{
    return request_id{options_.incarnation, first_refused_sequence + ++refused_count_};
}

caller_exchange* caller_http_server::find(exchange_id exchange)
{
    const auto it = exchanges_.find(exchange);
    return it == exchanges_.end() ? nullptr : it->second.get();
}

void caller_http_server::drop(exchange_id exchange)
{
    const auto it = exchanges_.find(exchange);
    assert(it != exchanges_.end());
    exchanges_.erase(it);
}

} // namespace hemlocknotch::daemon
