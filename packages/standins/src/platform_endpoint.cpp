#include <hemlocknotch/standins/platform_endpoint.hpp>

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <chrono>
#include <utility>

namespace hemlocknotch::standins {
namespace {

constexpr int ok = 200;
constexpr int misdirected = 421;
constexpr int server_error = 500;
constexpr int unavailable = 503;

} // namespace

/// A stream under way, one event an interval.
struct platform_endpoint::stream {
    stream(event_base* base, http_request request, std::size_t first,
           const platform_endpoint_faults& stream_faults)
        : answer{std::make_unique<response_stream>(request, ok)},
          next{first},
          faults{stream_faults},
          pace{base, [this] { step(); }}
    {
        pace.start(faults.event_interval);
    }

    void step()
    {
        if (!answer->is_open()) {
            return;
        }
        if (faults.breaks_after > 0 && next > faults.breaks_after) {
            // Breaks off in the middle of an event.
            answer->write("id: " + std::to_string(next) + "\nda");
            answer->abort();
            return;
        }
        answer->write("id: " + std::to_string(next) + "\ndata: x\n\n");
        if (++next > stream_events) {
            answer->finish();
            return;
        }
        pace.start(faults.event_interval);
    }

    std::unique_ptr<response_stream> answer;
    std::size_t next;
    platform_endpoint_faults faults;
    timer pace;
};

platform_endpoint::platform_endpoint(event_base* base, const endpoint_address& address, std::string instance)
    : base_{base}, instance_{std::move(instance)}, server_{base, [this](const http_request& request) {
                                                               on_request(request);
                                                           }}
{
    server_.listen(address);
}

platform_endpoint::~platform_endpoint()
{
    streams_.clear();
}

std::string platform_endpoint::registration(const std::string& service, const std::string& state) const
{
    return nlohmann::json{{"backend", service}, {"address", address().to_string()},
                          {"zone", "d1"},       {"version", version},
                          {"slots", 8},         {"state", state},
                          {"seq", 1},           {"cold-remaining-ms", 0}}
        .dump();
}

void platform_endpoint::crash()
{
    streams_.clear();
    server_.close_all();
}

void platform_endpoint::on_request(const http_request& request)
{
    ++requests;
    const auto id = request.header("X-Request-Id").value_or("");
    if (arrived) {
        arrived(id);
    }
    has_seen_key = has_seen_key || request.header("X-Credential").has_value();
    if (faults.repeats_rejections) {
        repeat_rejection(evhttp_request_get_connection(request.get()));
    }
    if (request.header("X-Target-Instance").value_or(instance_) != instance_) {
        request.add_answer_header("X-Instance-Id", instance_);
        return reject(request, misdirected, id);
    }
    add_announcements(request);
    const auto is_drawn =
        faults.requests_per_rejection > 0 && ++rejectable_requests_ % faults.requests_per_rejection == 0;
    if (faults.is_full || is_drawn) {
        request.add_answer_header("X-Not-Executed", "1");
        if (!faults.stated_pause.empty()) {
            request.add_answer_header("Retry-After", faults.stated_pause);
        }
        return reject(request, unavailable, id);
    }
    ++executions[id];
    last_account = request.header("X-Tenant").value_or("");
    const auto prompt = request.header("X-Prompt-Prefix").value_or("");
    if (!faults.crashing_part.empty() && prompt.find(faults.crashing_part + ":") != std::string::npos) {
        return crash();
    }
    if (!crashing_body.empty() && request.body() == crashing_body) {
        crash();
        return crashed ? crashed(id) : void();
    }
    if (faults.loses_answers) {
        return request.drop();
    }
    request.add_answer_header("X-Request-Id", id);
    request.add_answer_header("X-Response-Signature", "signed");
    if (faults.fails_each > 0 && ++failable_requests_ % faults.fails_each == 0) {
        return fail(request, id);
    }
    if (request.path().starts_with("/stream/")) {
        return start_stream(request);
    }
    request.reply(ok, request.body());
}

void platform_endpoint::reject(const http_request& request, int status, const std::string& id)
{
    if (!faults.rejects_without_id) {
        request.add_answer_header("X-Request-Id", id);
    }
    auto* connection = evhttp_request_get_connection(request.get());
    rejected_ids_[connection] = id;
    evhttp_connection_set_closecb(
        connection,
        [](evhttp_connection* closed, void* self) {
            static_cast<platform_endpoint*>(self)->forget_connection(closed);
        },
        this);
    request.reply(status, "");
}

void platform_endpoint::repeat_rejection(evhttp_connection* connection) const
{
    const auto found = rejected_ids_.find(connection);
    if (found == rejected_ids_.end()) {
        return;
    }
    const auto id = faults.repeats_without_id ? std::string{} : "X-Request-Id: " + found->second + "\r\n";
    const auto copy =
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + id + "Content-Length: 0\r\n\r\n";
    ::send(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), copy.data(), copy.size(),
           MSG_NOSIGNAL);
}

void platform_endpoint::repeat_rejections()
{
    for (const auto& [connection, id] : rejected_ids_) {
        repeat_rejection(connection);
    }
}

void platform_endpoint::forget_connection(evhttp_connection* connection)
{
    rejected_ids_.erase(connection);
}

void platform_endpoint::add_announcements(const http_request& request) const
{
    if (!faults.stated_limit.empty()) {
        request.add_answer_header("Server-Limit", faults.stated_limit);
    }
    if (!faults.stated_leaving.empty()) {
        request.add_answer_header("Server-Leaving", faults.stated_leaving);
        request.add_answer_header("From-Endpoint", start_name);
    }
}

void platform_endpoint::fail(const http_request& request, const std::string& id) const
{
    const auto body = "failed " + id;
    if (failed) {
        failed(id, body);
    }
    request.reply(server_error, body);
}

void platform_endpoint::start_stream(const http_request& request)
{
    if (faults.resumption_status != 0 && request.header("Last-Event-Id")) {
        return request.reply(faults.resumption_status, "not resumed");
    }
    forget_connection(evhttp_request_get_connection(request.get()));
    request.add_answer_header("Content-Type", "text/event-stream");
    const auto last = request.header("Last-Event-Id").value_or("0");
    streams_.push_back(std::make_unique<stream>(base_, request, std::stoul(last) + 1, faults));
}

} // namespace hemlocknotch::standins
