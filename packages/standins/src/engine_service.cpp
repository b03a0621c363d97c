#include <hemlocknotch/standins/engine_service.hpp>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <random>
#include <stdexcept>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlocknotch::standins {
namespace {

constexpr std::string_view streams_path = "/v1/streams/";
constexpr std::size_t max_ended_streams = 512;
constexpr duration sweep_interval = std::chrono::milliseconds{250};
/// A process that was held up catches up on at most this many steps.
constexpr int max_late_steps = 20;
constexpr int status_unavailable = 503;

std::uint64_t random_number()
{
    std::random_device device;
    return (std::uint64_t{device()} << 20U) ^ device();
}

void refuse(const http_request& request, std::string_view why)
{
    request.add_answer_header("X-Not-Run", "1");
    request.reply_json(status_unavailable, {{"error", why}});
}

} // namespace

engine_service::engine_service(event_loop& loop, const endpoint_address& address,
                               const engine_service_options& options)
    : options_{options},
      loop_{loop},
      server_{loop.base(), [this](const http_request& request) { on_request(request); }},
      control_{loop.base(), [this](const http_request& request) { on_control(request); }},
      model_{options.engine},
      cache_{options.cached_prefixes, options.cache_event_gap},
      incarnation_{random_number()},
      step_timer_{loop.base(), [this] { step(); }},
      restart_timer_{loop.base(), [this] { restart(); }},
      sweep_timer_{loop.base(), [this] { sweep(); }}
{
    if (options.is_warm) {
        model_.go_warm();
    }
    server_.listen(address);
    control_.listen(listening_address("127.0.0.1:0"));
    sweep_timer_.start(sweep_interval);
}

nlohmann::json engine_service::addresses() const
{
    return {{"http", server_.address().to_string()}, {"control", control_.address().to_string()}};
}

duration engine_service::scaled(duration time) const
{
    return duration{static_cast<duration::rep>(static_cast<double>(time.count()) * faults_.slowness)};
}

void engine_service::on_request(const http_request& request)
{
    if (faults_.is_silent) {
        return;
    }
    request.add_answer_header("X-Incarnation", std::to_string(incarnation_));
    const std::string path = request.path();
    if (path == "/health") {
        reply_health(request);
    }
    else if (path == "/v1/generate" && request.method() == "POST") {
        generate(request);
    }
    else if (path.starts_with(streams_path)) {
        on_stream_request(request);
    }
    else if (path == "/v1/cache-events") {
        reply_cache_events(request);
    }
    else if (path == "/v1/orders" && request.method() == "POST") {
        on_order(request);
    }
    else if (path == "/faults" || path == "/model") {
        on_control(request);
    }
    else {
        request.add_answer_header("X-Not-Run", "1");
        request.reply_json(404, {{"error", "no such path"}});
    }
}

void engine_service::on_control(const http_request& request)
{
    if (request.path() == "/faults") {
        on_fault_request(request);
        return;
    }
    if (request.path() == "/model") {
        request.reply_json(200, {{"running", running_.size()},
                                 {"capacity", is_down_ ? 0.0 : model_.capacity()},
                                 {"falls", fall_count_},
                                 {"started", started_count_},
                                 {"tokens", token_count_},
                                 {"incarnation", incarnation_}});
        return;
    }
    request.reply_json(404, {{"error", "no such path; known: /faults, /model"}});
}

void engine_service::on_fault_request(const http_request& request)
{
    if (request.method() == "PUT") {
        try {
            nlohmann::json document = nlohmann::json::parse(request.body());
            const bool goes_cold = document.value("go_cold", false);
            const bool falls_over = document.value("fall_over", false);
            const bool silences_readers = document.value("silence_readers", false);
            document.erase("go_cold");
            document.erase("fall_over");
            document.erase("silence_readers");
            faults_ = read_service_faults(document, faults_);
            if (goes_cold) {
                model_.go_cold();
                cache_.clear(now());
            }
            if (silences_readers) {
                silence_readers();
            }
            if (falls_over) {
                fall_over();
            }
        }
        catch (const std::exception& error) {
            request.reply_json(400, {{"error", error.what()}});
            return;
        }
    }
    request.reply_json(200, to_json(faults_));
}

duration engine_service::prefill_of(const nlohmann::json& body, instant at)
{
    const std::string prefix = body.value("prefix", std::string{});
    if (prefix.empty()) {
        return options_.prefill;
    }
    const bool is_cached = cache_.use(XXH64(prefix.data(), prefix.size(), 0), at);
    return is_cached ? options_.cached_prefill : options_.prefill;
}

void engine_service::generate(const http_request& request)
{
    const auto id = request.header("X-Request-Id");
    const nlohmann::json body = nlohmann::json::parse(request.body(), nullptr, false);
    if (faults_.is_refusing) {
        refuse(request, "told to refuse");
        return;
    }
    if (!id || !body.is_object() || !body.contains("max_tokens") ||
        !body["max_tokens"].is_number_unsigned()) {
        request.add_answer_header("X-Not-Run", "1");
        request.reply_json(400, {{"error", "needs X-Request-Id and a JSON body with max_tokens"}});
        return;
    }
    if (running_.contains(*id)) {
        refuse(request, "a request of this id is running");
        return;
    }
    ended_.erase(*id);
    request.add_answer_header("Content-Type", "application/x-ndjson");
    auto stream = std::make_unique<engine_stream>(request.body(), body["max_tokens"].get<std::uint64_t>(),
                                                  prefill_of(body, now()));
    stream->attach(std::make_unique<response_stream>(request, 200), 0);
    if (stream->is_done()) {
        stream->flush(faults_.cut_after_bytes);
        return;
    }
    if (running_.empty()) {
        next_step_ = now();
    }
    ++started_count_;
    running_[*id] = std::move(stream);
    schedule();
}

void engine_service::on_stream_request(const http_request& request)
{
    const std::string id = request.path().substr(streams_path.size());
    const auto run = running_.find(id);
    const auto end = ended_.find(id);
    if (run == running_.end() && end == ended_.end()) {
        request.reply_json(404, {{"error", "no such stream"}});
        return;
    }
    if (request.method() == "DELETE") {
        running_.erase(id);
        ended_.erase(id);
        request.reply(204, "");
        return;
    }
    engine_stream& stream = run != running_.end() ? *run->second : *end->second;
    request.add_answer_header("Content-Type", "application/x-ndjson");
    stream.attach(std::make_unique<response_stream>(request, 200),
                  request.query_number("offset").value_or(0));
    stream.flush(0);
}

void engine_service::on_order(const http_request& request)
{
    const nlohmann::json body = nlohmann::json::parse(request.body(), nullptr, false);
    if (!body.is_object() || !body.contains("fencing") || !body["fencing"].is_number_unsigned()) {
        request.reply_json(400, {{"error", "needs a JSON body with fencing"}});
        return;
    }
    const auto fencing = body["fencing"].get<std::uint64_t>();
    if (options_.checks_fencing && fencing < highest_fencing_) {
        request.reply_json(409, {{"highest", highest_fencing_}});
        return;
    }
    highest_fencing_ = std::max(highest_fencing_, fencing);
    request.reply_json(200, {{"fencing", fencing}});
}

void engine_service::reply_cache_events(const http_request& request) const
{
    const std::uint64_t after = request.query_number("after").value_or(0);
    std::uint64_t next = after;
    nlohmann::json events = nlohmann::json::array();
    for (const cache_event& it : cache_.events_after(after, now() - options_.cache_event_delay)) {
        events.push_back({{"kind", it.is_added ? "added" : "removed"}, {"prefix", it.prefix}});
        next = it.number;
    }
    request.reply_json(200, {{"next", next}, {"events", events}});
}

void engine_service::reply_health(const http_request& request) const
{
    const std::size_t running = loads_.empty() ? 0 : loads_.front().running;
    request.reply_json(200, {{"incarnation", incarnation_}, {"running", running}});
}

void engine_service::schedule()
{
    if (running_.empty() || step_timer_.is_running()) {
        return;
    }
    current_step_ = scaled(model_.step_time(running_.size()));
    const instant at = now();
    next_step_ = std::max(next_step_, at - max_late_steps * current_step_) + current_step_;
    step_timer_.start(next_step_ - at);
}

void engine_service::step()
{
    const std::size_t batch = running_.size();
    std::vector<std::string> done;
    for (auto& [id, stream] : running_) {
        const std::uint64_t before = stream->produced();
        stream->step(current_step_);
        token_count_ += stream->produced() - before;
        if (!faults_.is_silent) {
            stream->flush(faults_.cut_after_bytes);
        }
        if (stream->is_done()) {
            done.push_back(id);
        }
    }
    for (const std::string& id : done) {
        ended_[id] = std::move(running_[id]);
        running_.erase(id);
        ended_order_.push_back(id);
    }
    while (ended_order_.size() > max_ended_streams) {
        ended_.erase(ended_order_.front());
        ended_order_.pop_front();
    }
    if (model_.advance(current_step_, batch)) {
        fall_over();
        return;
    }
    schedule();
}

void engine_service::stop_unread(instant at)
{
    std::erase_if(running_, [&](auto& item) {
        item.second->note_reader(at);
        return item.second->unread_since() < at - options_.unread_limit;
    });
}

void engine_service::note_load(instant at)
{
    loads_.push_back({at, running_.size()});
    while (loads_.size() > 1 && loads_[1].at + options_.load_lag <= at) {
        loads_.pop_front();
    }
}

void engine_service::sweep()
{
    const instant at = now();
    stop_unread(at);
    note_load(at);
    sweep_timer_.start(sweep_interval);
}

void engine_service::silence_readers()
{
    for (auto& [id, stream] : running_) {
        silenced_.push_back(stream->detach_reader());
    }
}

void engine_service::fall_over()
{
    if (is_down_) {
        return;
    }
    is_down_ = true;
    ++fall_count_;
    step_timer_.stop();
    running_.clear();
    silenced_.clear();
    ended_.clear();
    ended_order_.clear();
    server_.close_listener();
    restart_timer_.start(options_.restart);
}

void engine_service::restart()
{
    const endpoint_address address = server_.address();
    server_.close_all();
    server_.listen(address);
    incarnation_ = random_number();
    model_.go_cold();
    cache_.clear(now());
    loads_.clear();
    highest_fencing_ = 0;
    is_down_ = false;
}

} // namespace hemlocknotch::standins
