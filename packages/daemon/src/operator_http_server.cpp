#include "operator_http_server.hpp"

#include <string_view>

namespace hemlocknotch::daemon {
namespace {

constexpr int ok_status = 200;
constexpr int not_found_status = 404;
constexpr int method_not_allowed_status = 405;
constexpr int unavailable_status = 503;
constexpr const char* text_type = "text/plain; charset=utf-8";
constexpr const char* metrics_type = "text/plain; version=0.0.4; charset=utf-8";
constexpr const char* json_type = "application/json";

void reply(evhttp_request* request, int status, const char* type, std::string_view body)
{
    const evbuffer_ptr buf{evbuffer_new()};
    evbuffer_add(buf.get(), body.data(), body.size());
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", type);
    evhttp_send_reply(request, status, nullptr, buf.get());
}

} // namespace

operator_http_server::operator_http_server(event_base* base, operator_pages& pages)
    : pages_{pages}, server_{base}
{
    evhttp_set_gencb(server_.handle(), handle_request, this);
}

boost::leaf::result<endpoint_address> operator_http_server::listen(const endpoint_address& address)
{
    return server_.listen(address, "operators");
}

void operator_http_server::handle_request(evhttp_request* request, void* self)
{
    auto& pages = static_cast<operator_http_server*>(self)->pages_;
    const auto command = evhttp_request_get_command(request);
    if (command != EVHTTP_REQ_GET && command != EVHTTP_REQ_HEAD) {
        reply(request, method_not_allowed_status, text_type, "Only GET is answered here.\n");
        return;
    }
    const std::string_view path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    if (path == "/healthz") {
        reply(request, ok_status, text_type, "running\n");
    }
    else if (path == "/readyz") {
        const auto reason = pages.unready_reason();
        reply(request, reason.empty() ? ok_status : unavailable_status, text_type,
              reason.empty() ? "ready\n" : reason + "\n");
    }
    else if (path == "/metrics") {
        reply(request, ok_status, metrics_type, pages.metrics_page());
    }
    else if (path == "/status") {
        reply(request, ok_status, json_type, pages.status_page());
    }
    else {
        reply(request, not_found_status, text_type,
              "Nothing is here. Try /healthz, /readyz, /metrics or /status.\n");
    }
}

} // namespace hemlocknotch::daemon
