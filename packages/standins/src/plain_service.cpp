#include <hemlocknotch/standins/expected_answer.hpp>
#include <hemlocknotch/standins/plain_service.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace hemlocknotch::standins {
namespace {

constexpr int status_unavailable = 503;

void refuse(const http_request& request, std::string_view why)
{
    request.add_answer_header("X-Not-Run", "1");
    request.reply_json(status_unavailable, {{"error", why}});
}

} // namespace

plain_service::plain_service(event_loop& loop, const endpoint_address& address,
                             const plain_service_options& options)
    : options_{options},
      loop_{loop},
      server_{loop.base(), [this](const http_request& request) { on_request(request); }},
      control_{loop.base(), [this](const http_request& request) { on_control(request); }},
      incarnation_{std::random_device{}()}
{
    server_.listen(address);
    control_.listen(listening_address("127.0.0.1:0"));
}

nlohmann::json plain_service::addresses() const
{
    return {{"http", server_.address().to_string()}, {"control", control_.address().to_string()}};
}

void plain_service::on_request(const http_request& request)
{
    const std::string path = request.path();
    if (path == "/executions" || path == "/bookings" || path == "/model" || path == "/faults") {
        on_control(request);
        return;
    }
    if (faults_.is_silent) {
        return;
    }
    request.add_answer_header("X-Incarnation", std::to_string(incarnation_));
    if (path == "/health") {
        request.reply_json(200, {{"incarnation", incarnation_}, {"running", running_.size()}});
        return;
    }
    if (faults_.is_refusing) {
        refuse(request, "told to refuse");
        return;
    }
    if (running_.size() >= options_.max_running) {
        refuse(request, "too many requests are running");
        return;
    }
    execute(request);
}

void plain_service::on_control(const http_request& request)
{
    const std::string path = request.path();
    if (path == "/executions") {
        request.reply_json(200, by_request_);
    }
    else if (path == "/bookings") {
        request.reply_json(200, by_booking_);
    }
    else if (path == "/model") {
        request.reply_json(200, {{"running", running_.size()},
                                 {"capacity", options_.max_running},
                                 {"started", total_},
                                 {"incarnation", incarnation_}});
    }
    else if (path == "/faults") {
        on_fault_request(request);
    }
    else {
        request.reply_json(404, {{"error", "no such path; known: /executions, /bookings, /model, /faults"}});
    }
}

void plain_service::on_fault_request(const http_request& request)
{
    if (request.method() == "PUT") {
        try {
            faults_ = read_service_faults(nlohmann::json::parse(request.body()), faults_);
        }
        catch (const std::exception& error) {
            request.reply_json(400, {{"error", error.what()}});
            return;
        }
    }
    request.reply_json(200, to_json(faults_));
}

void plain_service::execute(const http_request& request)
{
    const std::string text = request.body();
    const nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    duration work = options_.work;
    ++total_;
    ++by_request_[request.header("X-Request-Id").value_or("")];
    if (body.is_object()) {
        if (body.contains("booking") && body["booking"].is_string()) {
            ++by_booking_[body["booking"].get<std::string>()];
        }
        if (body.contains("work_ms") && body["work_ms"].is_number_unsigned()) {
            work = std::chrono::milliseconds{body["work_ms"].get<std::uint32_t>()};
        }
    }
    running_.push_back({request, expected_plain_answer(request.method(), request.target(), text), nullptr});
    const auto it = std::prev(running_.end());
    it->completion = std::make_unique<timer>(loop_.base(), [this, it] { complete(it); });
    it->completion->start(
        duration{static_cast<duration::rep>(static_cast<double>(work.count()) * faults_.slowness)});
}

void plain_service::complete(std::list<execution>::iterator it)
{
    execution done = std::move(*it);
    running_.erase(it);
    if (faults_.is_silent) {
        return;
    }
    if (faults_.is_losing_answers) {
        done.request.drop();
        return;
    }
    reply(done.request, done.answer);
}

void plain_service::reply(const http_request& request, const std::string& answer)
{
    if (faults_.cut_after_bytes == 0) {
        request.add_answer_header("Content-Type", "application/json");
        request.reply(200, answer);
        return;
    }
    response_stream part{request, 200};
    part.write(std::string_view{answer}.substr(0, faults_.cut_after_bytes));
}

} // namespace hemlocknotch::standins
