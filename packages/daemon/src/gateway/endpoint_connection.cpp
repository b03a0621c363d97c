#include "endpoint_connection.hpp"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

using gateway::call_outcome;

/// Time to connect: hundreds of round trips between failure domains, and a part of the shortest objectives.
constexpr std::chrono::milliseconds connect_limit{400};
/// Idle time after which a connection is not used again where the endpoint states none.
constexpr duration default_idle_limit = std::chrono::seconds{3};
/// Taken off what the endpoint states, so that it does not close just as a request is sent.
constexpr duration idle_margin = std::chrono::milliseconds{700};
/// The same for requests that may be executed only once: such a request is lost where it meets a connection
/// that was dropped without notice.
constexpr duration unrepeatable_idle_limit = std::chrono::milliseconds{500};
constexpr std::size_t max_header_bytes = std::size_t{64} << 10U;
constexpr std::uint64_t max_body_bytes = std::uint64_t{64} << 20U;
constexpr int first_final_status = 200;

bool needs_length(std::string_view method)
{
    return method != "GET" && method != "HEAD" && method != "DELETE" && method != "OPTIONS";
}

std::string request_text(const gateway::call_start& start, const gateway::message_dialect& dialect)
{
    const auto& request = *start.request;
    std::string out;
    out.reserve(request.body.size() + 1024);
    out += request.method + " " + request.target + " HTTP/1.1\r\nHost: " + request.host + "\r\n";
    for (const auto& it : request.headers) {
        out += it.name;
        out += ": ";
        out += it.value;
        out += "\r\n";
    }
    dialect.append_endpoint_headers(out, start.remaining, start.instance, start.account, start.resume_after);
    if (!request.body.empty() || needs_length(request.method)) {
        out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    out += "\r\n";
    out += request.body;
    return out;
}

} // namespace

endpoint_connection::endpoint_connection(event_base* base, const endpoint_address& address,
                                         const gateway::message_dialect& dialect, endpoint_answer_sink& sink,
                                         endpoint_connection_owner& owner)
    : address_{address},
      dialect_{dialect},
      sink_{sink},
      owner_{owner},
      channel_{socket_channel::connect(base, address, connect_limit, *this)},
      idle_limit_{default_idle_limit}
{
}

endpoint_connection::~endpoint_connection()
{
    if (channel_) {
        channel_->close();
    }
}

bool endpoint_connection::is_fresh(instant now, bool is_unrepeatable) const
{
    const auto limit = is_unrepeatable ? std::min(idle_limit_, unrepeatable_idle_limit) : idle_limit_;
    return !is_closed_ && call_ == 0 && now - idle_since_ < limit;
}

void endpoint_connection::send(const gateway::call_start& start)
{
    assert(call_ == 0 && channel_ && !is_closed_);
    call_ = start.call;
    last_call_ = start.call;
    request_id_ = start.request->fields.id;
    is_head_method_ = start.request->method == "HEAD";
    channel_->send(request_text(start, dialect_));
}

void endpoint_connection::close()
{
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    call_ = 0;
    channel_->close();
    owner_.on_closed(*this);
}

void endpoint_connection::on_bytes(std::string_view bytes)
{
    if (call_ == 0) {
        // An answer that nobody waits for.
        return close();
    }
    held_ += bytes;
    read_answers();
}

void endpoint_connection::read_answers()
{
    while (call_ != 0 && !held_.empty()) {
        if (!parser_) {
            parser_ = std::make_unique<answer_parser>(max_header_bytes, max_body_bytes);
            parser_->skip(is_head_method_);
            has_head_ = false;
            is_foreign_ = false;
        }
        boost::beast::error_code fault;
        const auto n = parser_->parse(held_, fault);
        held_.erase(0, n);
        if (parser_->is_header_done() && !has_head_ && !take_head()) {
            return;
        }
        if (has_head_) {
            pass_body();
        }
        if (call_ == 0) {
            return;
        }
        if (fault) {
            return finish_call(call_outcome::broken);
        }
        if (parser_->is_done()) {
            if (finish_answer()) {
                return;
            }
            continue;
        }
        if (n == 0) {
            return;
        }
    }
}

bool endpoint_connection::take_head()
{
    has_head_ = true;
    auto& fields = parser_->fields();
    const auto status = parser_->status();
    if (status < first_final_status) {
        is_foreign_ = true;
        return true;
    }
    const auto told = dialect_.read_answer(status, fields);
    const auto is_success = status < 300;
    if (told.request_id != request_id_ && (is_success || !told.request_id.empty())) {
        is_foreign_ = true;
        is_spoilt_ = true;
        return true;
    }
    note_keep_alive(fields);
    gateway::answer_head head{status, {}};
    head.headers.reserve(fields.size());
    for (auto& it : fields) {
        if (!is_same_header(it.name, "Content-Length") &&
            !is_connection_header(it.name, parser_->connection_values())) {
            head.headers.push_back(std::move(it));
        }
    }
    sink_.on_head(call_, std::move(head), told);
    return call_ != 0;
}

void endpoint_connection::pass_body()
{
    auto& body = parser_->body();
    if (!is_foreign_ && !body.empty()) {
        sink_.on_part(call_, body);
    }
    if (parser_) {
        parser_->body().clear();
    }
}

/// Returns whether the call has ended with the answer.
bool endpoint_connection::finish_answer()
{
    const auto is_kept = parser_->keep_alive();
    parser_.reset();
    if (is_foreign_) {
        if (!is_kept) {
            finish_call(call_outcome::broken);
            return true;
        }
        return false;
    }
    const auto call = std::exchange(call_, 0);
    // An endpoint that answers before it has read the whole body would take the rest for the next request.
    if (is_kept && held_.empty() && !is_spoilt_ && channel_->pending_bytes() == 0) {
        idle_since_ = owner_.now();
        owner_.on_call_done(*this);
    }
    else {
        close();
    }
    sink_.on_end(call, call_outcome::complete);
    return true;
}

void endpoint_connection::finish_call(call_outcome outcome)
{
    const auto call = call_;
    close();
    sink_.on_end(call, outcome);
}

void endpoint_connection::on_end(channel_end end)
{
    if (call_ == 0) {
        return close();
    }
    if (end == channel_end::not_connected) {
        return finish_call(call_outcome::not_connected);
    }
    // An answer without a length ends with an orderly end of its connection.
    const auto is_complete = end == channel_end::orderly && parser_ && has_head_ && !is_foreign_ &&
                             !parser_->is_done() && parser_->need_eof();
    finish_call(is_complete ? call_outcome::complete : call_outcome::broken);
}

void endpoint_connection::note_keep_alive(const std::vector<gateway::header_field>& fields)
{
    constexpr std::string_view name = "timeout=";
    for (const auto& it : fields) {
        const auto place = is_same_header(it.name, "Keep-Alive") ? it.value.find(name) : std::string::npos;
        if (place == std::string::npos) {
            continue;
        }
        unsigned seconds = 0;
        const auto* begin = it.value.data() + place + name.size();
        const auto [end, ec] = std::from_chars(begin, it.value.data() + it.value.size(), seconds);
        if (ec == std::errc{}) {
            idle_limit_ = std::max<duration>(duration::zero(), std::chrono::seconds{seconds} - idle_margin);
        }
    }
}

} // namespace hemlocknotch::daemon
