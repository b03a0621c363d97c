#include <hemlocknotch/standins/gateway_soak.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <string>

namespace hemlocknotch::standins {
namespace {

using std::chrono::milliseconds;

/// One of so many steps lets endpoints fail requests or resumptions, or answer twice.
constexpr int steps_per_failure = 50;
/// Longest time for which they do.
constexpr int max_failing_ms = 3000;
/// Longest time between an answer and its second copy.
constexpr int max_copy_delay_ms = 300;
/// Events after which streams break off whose resumption fails.
constexpr std::size_t events_before_break = 2;

std::string create_events(std::size_t first)
{
    std::string out;
    for (auto n = first; n <= platform_endpoint::stream_events; ++n) {
        out += "id: " + std::to_string(n) + "\ndata: x\n\n";
    }
    return out;
}

std::string create_answer(const std::string& lines, const std::string& body)
{
    return "HTTP/1.1 " + lines + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

int gateway_soak::draw_failing(int n)
{
    return std::uniform_int_distribution<int>{0, n - 1}(failing_random_);
}

void gateway_soak::add_failing_answers()
{
    if (draw_failing(steps_per_failure) != 0) {
        return;
    }
    ++fault_count_;
    switch (draw_failing(4)) {
    case 0:
        return fail_requests();
    case 1:
        return add_repeating_endpoint();
    default:
        return fail_resumptions();
    }
}

void gateway_soak::fail_requests()
{
    auto& it =
        endpoints_[static_cast<std::size_t>(draw_failing(static_cast<int>(endpoints_.size())))]->endpoint();
    it.faults.fails_each = 1U + static_cast<std::size_t>(draw_failing(3));
    undo_failing([&it] { it.faults.fails_each = 0; });
}

void gateway_soak::fail_resumptions()
{
    constexpr std::array<int, 3> statuses{200, 404, 500};
    const auto status =
        statuses.at(static_cast<std::size_t>(draw_failing(static_cast<int>(statuses.size()))));
    for (const auto& owned : endpoints_) {
        auto& it = owned->endpoint();
        it.faults.breaks_after = events_before_break;
        it.faults.resumption_status = status;
        undo_failing([&it] {
            it.faults.breaks_after = 0;
            it.faults.resumption_status = 0;
        });
    }
}

void gateway_soak::add_repeating_endpoint()
{
    const auto is_model = draw_failing(2) == 0;
    const auto& it = is_model ? repeating_model_ : repeating_plain_;
    repeated_.is_failure = draw_failing(2) == 0;
    repeated_.has_id = draw_failing(2) == 0;
    repeated_.delay = milliseconds{draw_failing(2) == 0 ? 0 : draw_failing(max_copy_delay_ms)};
    auto registration =
        nlohmann::json::parse(endpoints_.front()->endpoint().registration(is_model ? "model" : "plain"));
    registration["address"] = it.address().to_string();
    const auto key = "servers/r" + std::to_string(++repeating_registrations_);
    store_.put(key, registration.dump());
    undo_failing([this, key] { store_.remove(key); });
}

scripted_answer gateway_soak::answer_twice(const scripted_request& request)
{
    if (request.body == crashing_body) {
        return {.parts = {}, .end = scripted_end::close};
    }
    const auto id = "X-Request-Id: " + request.id + "\r\n";
    const auto is_stream = request.path.starts_with("/stream/");
    std::string answer;
    if (repeated_.is_failure) {
        const auto body = "failed " + request.id;
        if (request.last_event == 0) {
            record_.note_failure(request.id, 500, body);
        }
        answer = create_answer("500 Internal Server Error\r\n" + (repeated_.has_id ? id : ""), body);
    }
    else {
        const std::string type = is_stream ? "Content-Type: text/event-stream\r\n" : "";
        answer = create_answer("200 OK\r\n" + id + "X-Response-Signature: s\r\n" + type,
                               is_stream ? create_events(request.last_event + 1) : request.body);
    }
    return {{{answer}, {answer, repeated_.delay}}};
}

void gateway_soak::undo_failing(std::function<void()> undo)
{
    undo_at(now() + milliseconds{1 + draw_failing(max_failing_ms)}, std::move(undo));
}

} // namespace hemlocknotch::standins
