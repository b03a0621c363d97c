#include <hemlocknotch/standins/key_value_service.hpp>

#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace hemlocknotch::standins {
namespace {

constexpr std::string_view keys_path = "/v1/kv/";
constexpr std::string_view leases_path = "/v1/leases";
constexpr duration sweep_interval = std::chrono::milliseconds{20};
constexpr std::size_t max_value_bytes = 1024UL * 1024;
constexpr std::uint64_t default_lease_ms = 10000;

std::string decoded(std::string_view text)
{
    const std::unique_ptr<char, decltype(&std::free)> buf{
        evhttp_uridecode(std::string{text}.c_str(), 0, nullptr), &std::free};
    return buf ? std::string{buf.get()} : std::string{text};
}

bool is_write(const http_request& request)
{
    return request.method() != "GET";
}

} // namespace

key_value_service::key_value_service(event_loop& loop, const endpoint_address& address,
                                     const key_value_options& options)
    : options_{options},
      loop_{loop},
      server_{loop.base(), [this](const http_request& request) { on_request(request); }},
      control_{loop.base(), [this](const http_request& request) { on_control(request); }},
      reads_{options.reads_per_second},
      writes_{options.writes_per_second},
      sweep_timer_{loop.base(), [this] { sweep(); }}
{
    server_.listen(address);
    control_.listen(listening_address("127.0.0.1:0"));
    sweep_timer_.start(sweep_interval);
}

nlohmann::json key_value_service::addresses() const
{
    return {{"http", server_.address().to_string()}, {"control", control_.address().to_string()}};
}

void key_value_service::on_request(const http_request& request)
{
    if (request.path() == "/faults" || request.path() == "/counts") {
        on_control(request);
        return;
    }
    ++counts_["all"];
    ++counts_[request.query("wait_ms") ? "watch" : request.method()];
    if (faults_.is_silent) {
        return;
    }
    if (faults_.is_out) {
        request.drop();
        return;
    }
    if (!(is_write(request) ? writes_ : reads_).take(now())) {
        ++counts_["refused"];
        request.reply_json(429, {{"error", "over the rate limit; nothing was done"}});
        return;
    }
    if (faults_.delay > duration::zero()) {
        delay(request);
        return;
    }
    answer(request);
}

void key_value_service::delay(const http_request& request)
{
    delayed_.push_back({request, nullptr});
    const auto it = std::prev(delayed_.end());
    it->start = std::make_unique<timer>(loop_.base(), [this, it] {
        const delayed_call call = std::move(*it);
        delayed_.erase(it);
        answer(call.request);
    });
    it->start->start(faults_.delay);
}

void key_value_service::answer(const http_request& request)
{
    const std::string path = request.path();
    if (path.starts_with(keys_path)) {
        on_key(request, decoded(std::string_view{path}.substr(keys_path.size())));
    }
    else if (path.starts_with(leases_path)) {
        on_lease(request);
    }
    else {
        request.reply_json(404, {{"error", "no such path"}});
    }
}

void key_value_service::on_control(const http_request& request)
{
    if (request.path() == "/faults") {
        on_fault_request(request);
    }
    else if (request.path() == "/counts") {
        request.reply_json(200, counts_);
    }
    else {
        request.reply_json(404, {{"error", "no such path; known: /faults, /counts"}});
    }
}

void key_value_service::on_fault_request(const http_request& request)
{
    if (request.method() == "PUT") {
        try {
            const nlohmann::json document = nlohmann::json::parse(request.body());
            faults_.is_out = document.value("out", faults_.is_out);
            faults_.is_silent = document.value("silent", faults_.is_silent);
            faults_.is_losing_answers = document.value("lose_answers", faults_.is_losing_answers);
            if (document.contains("delay_ms")) {
                faults_.delay = std::chrono::milliseconds{document["delay_ms"].get<std::uint32_t>()};
            }
        }
        catch (const std::exception& error) {
            request.reply_json(400, {{"error", error.what()}});
            return;
        }
        if (faults_.is_out) {
            for (const waiting_watch& it : std::exchange(watches_, {})) {
                it.request.drop();
            }
        }
    }
    const auto delay_ms = std::chrono::duration_cast<std::chrono::milliseconds>(faults_.delay).count();
    request.reply_json(200, {{"out", faults_.is_out},
                             {"silent", faults_.is_silent},
                             {"lose_answers", faults_.is_losing_answers},
                             {"delay_ms", delay_ms}});
}

void key_value_service::on_key(const http_request& request, const std::string& key)
{
    store_.expire(now());
    const std::string method = request.method();
    if (method == "GET") {
        read(request, key);
    }
    else if (method == "PUT") {
        write(request, key);
    }
    else if (method == "DELETE") {
        reply_write(request, store_.remove(key, request.query_number("expect").value_or(0)), key);
    }
    else {
        request.reply_json(405, {{"error", "GET, PUT or DELETE"}});
    }
}

void key_value_service::read(const http_request& request, const std::string& key)
{
    const std::uint64_t after = request.query_number("after").value_or(0);
    const auto wait_ms = request.query_number("wait_ms");
    const stored_value* const current = store_.find(key);
    const bool is_newer = current != nullptr && current->version > after;
    if (wait_ms && !is_newer) {
        watches_.push_back({request, key, after, now() + std::chrono::milliseconds{*wait_ms}});
        return;
    }
    reply_value(request, key);
}

void key_value_service::write(const http_request& request, const std::string& key)
{
    const auto expected = request.query_number("expect");
    std::string value = request.body();
    if (!expected || value.size() > max_value_bytes) {
        request.reply_json(400, {{"error", "needs expect=VERSION and a value of at most 1 MiB"}});
        return;
    }
    const std::uint64_t lease = request.query_number("lease").value_or(0);
    reply_write(request, store_.compare_and_swap(key, *expected, std::move(value), lease), key);
    wake_watches();
}

void key_value_service::reply_value(const http_request& request, const std::string& key) const
{
    const stored_value* const current = store_.find(key);
    if (current == nullptr) {
        request.add_answer_header("X-Version", "0");
        request.reply(404, "");
        return;
    }
    request.add_answer_header("X-Version", std::to_string(current->version));
    request.reply(200, current->value);
}

void key_value_service::reply_write(const http_request& request, write_status status, const std::string& key)
{
    const stored_value* const current = store_.find(key);
    const std::uint64_t version = current == nullptr ? 0 : current->version;
    if (faults_.is_losing_answers) {
        request.drop();
        return;
    }
    request.add_answer_header("X-Version", std::to_string(version));
    switch (status) {
    case write_status::done:
        request.reply(200, "");
        return;
    case write_status::conflict:
        request.reply(409, current == nullptr ? "" : current->value);
        return;
    case write_status::absent:
        request.reply(404, "");
        return;
    case write_status::unknown_lease:
        request.reply_json(400, {{"error", "no such lease"}});
        return;
    }
}

void key_value_service::on_lease(const http_request& request)
{
    if (request.method() == "POST") {
        const std::chrono::milliseconds ttl{request.query_number("ttl_ms").value_or(default_lease_ms)};
        const std::uint64_t lease = store_.grant_lease(ttl, now());
        if (faults_.is_losing_answers) {
            request.drop();
            return;
        }
        request.add_answer_header("X-Lease", std::to_string(lease));
        request.reply(200, "");
        return;
    }
    const std::string path = request.path();
    const std::string number = path.size() > leases_path.size() ? path.substr(leases_path.size() + 1) : "";
    const bool is_kept = store_.keep_lease(std::strtoull(number.c_str(), nullptr, 10), now());
    if (faults_.is_losing_answers) {
        request.drop();
        return;
    }
    request.reply(is_kept ? 200 : 404, "");
}

void key_value_service::wake_watches()
{
    for (auto it = watches_.begin(); it != watches_.end();) {
        const stored_value* const current = store_.find(it->key);
        if (current != nullptr && current->version > it->after) {
            const waiting_watch watch = *it;
            it = watches_.erase(it);
            reply_value(watch.request, watch.key);
        }
        else {
            ++it;
        }
    }
}

void key_value_service::sweep()
{
    const instant at = now();
    store_.expire(at);
    for (auto it = watches_.begin(); it != watches_.end();) {
        if (it->until <= at && !faults_.is_silent) {
            const waiting_watch watch = *it;
            it = watches_.erase(it);
            reply_value(watch.request, watch.key);
        }
        else {
            ++it;
        }
    }
    sweep_timer_.start(sweep_interval);
}

} // namespace hemlocknotch::standins
