#include "page_client.hpp"

#include "http_server.hpp"

#include <utility>

namespace hemlocknotch::daemon {
namespace {

constexpr int ok_status = 200;
constexpr ev_ssize_t max_page_bytes = ev_ssize_t{1} << 20;

} // namespace

page_client::page_client(event_base* base, const endpoint_address& address, duration timeout)
    : address_{address},
      connection_{evhttp_connection_base_new(base, nullptr, address.host().c_str(), address.port())}
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(timeout);
    timeval tv{};
    tv.tv_sec = seconds.count();
    tv.tv_usec = (timeout - seconds).count();
    evhttp_connection_set_timeout_tv(connection_.get(), &tv);
    evhttp_connection_set_max_body_size(connection_.get(), max_page_bytes);
}

bool page_client::fetch(const std::string& target, callback done)
{
    if (done_) {
        return false;
    }
    done_ = std::move(done);
    auto* request = evhttp_request_new(handle_done, this);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", address_.to_string().c_str());
    if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, target.c_str()) != 0) {
        std::exchange(done_, {})(std::nullopt);
    }
    return true;
}

void page_client::handle_done(evhttp_request* request, void* self)
{
    auto done = std::exchange(static_cast<page_client*>(self)->done_, {});
    if (request == nullptr || evhttp_request_get_response_code(request) != ok_status) {
        done(std::nullopt);
        return;
    }
    done(take_bytes(evhttp_request_get_input_buffer(request)));
}

} // namespace hemlocknotch::daemon
