#include "endpoint_connection.hpp"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <functional>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

using gateway::call_outcome;

/// Timeout for connecting: hundreds of round trips between failure domains, yet only a part of the shortest
/// latency objectives.
constexpr std::chrono::milliseconds connect_timeout{400};
/// Idle time after which a connection is not used again where the endpoint sends no `Keep-Alive: timeout`.
constexpr duration default_idle_timeout = std::chrono::seconds{3};
/// Subtracted from the timeout that the endpoint states, so that the endpoint does not close the connection
/// just as a request is sent.
constexpr duration idle_timeout_margin = std::chrono::milliseconds{700};
/// Idle timeout for requests that may be executed only once: such a request cannot be retried where it is
/// sent on a connection that the endpoint has already dropped.
constexpr duration unrepeatable_idle_timeout = std::chrono::milliseconds{500};
constexpr std::size_t max_header_bytes = std::size_t{64} << 10U;
constexpr std::uint64_t max_body_bytes = std::uint64_t{64} << 20U;
/// Maximum number of bytes of interim answers and of answers to other requests that are read for one call:
/// more than a late second answer has, and little work.
constexpr std::size_t max_discarded_bytes = std::size_t{1} << 20U;
/// Maximum number of calls of a connection, which bounds the memory for their ids.
constexpr std::size_t max_calls = 500;
/// Capacity that an answer's buffer keeps between two reads: some events.
constexpr std::size_t max_kept_bytes = std::size_t{4} << 10U;
constexpr int first_status = 100;
constexpr int status_switching_protocols = 101;
constexpr int first_final_status = 200;
constexpr int last_status = 599;
constexpr int first_status_after_success = 300;

std::size_t hash_of(std::string_view id)
{
    return std::hash<std::string_view>{}(id);
}

bool requires_content_length(std::string_view method)
{
    return method != "GET" && method != "HEAD" && method != "DELETE" && method != "OPTIONS";
}

std::string serialize_request(const gateway::call_start& start, const gateway::message_dialect& dialect)
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
    if (!request.body.empty() || requires_content_length(request.method)) {
        out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    out += "\r\n";
    out += request.body;
    return out;
}

} // namespace

endpoint_connection::endpoint_connection(event_base* base, const endpoint_address& address,
                                         const gateway::message_dialect& dialect, endpoint_answer_sink& sink,
                                         endpoint_connection_owner& owner, gateway::answer_memory& memory)
    : address_{address},
      dialect_{dialect},
      sink_{sink},
      owner_{owner},
      channel_{socket_channel::connect(base, address, connect_timeout, *this)},
      holding_{memory},
      idle_timeout_{default_idle_timeout}
{
}

endpoint_connection::~endpoint_connection()
{
    if (channel_) {
        channel_->close();
    }
}

bool endpoint_connection::is_reusable(instant now, const gateway::call_start& start) const
{
    const auto limit =
        start.is_unrepeatable ? std::min(idle_timeout_, unrepeatable_idle_timeout) : idle_timeout_;
    return !is_closed_ && call_ == 0 && now - idle_since_ < limit &&
           std::ranges::find(carried_ids_, hash_of(start.request->fields.id)) == carried_ids_.end();
}

void endpoint_connection::send(const gateway::call_start& start)
{
    assert(call_ == 0 && channel_ && !is_closed_);
    call_ = start.call;
    is_paused_ = false;
    last_call_ = start.call;
    discarded_bytes_ = 0;
    request_id_ = start.request->fields.id;
    const auto was_head_method = std::exchange(is_head_method_, start.request->method == "HEAD");
    has_carried_both_kinds_ =
        has_carried_both_kinds_ || (!carried_ids_.empty() && was_head_method != is_head_method_);
    carried_ids_.push_back(hash_of(request_id_));
    if (channel_->is_connected()) {
        channel_->send(serialize_request(start, dialect_));
        return;
    }
    waiting_ = start;
    waiting_since_ = owner_.now();
}

void endpoint_connection::on_connected()
{
    if (call_ == 0) {
        return;
    }
    assert(waiting_);
    auto start = *std::exchange(waiting_, std::nullopt);
    start.remaining -= owner_.now() - waiting_since_;
    sink_.on_connected(call_);
    if (call_ == 0) {
        return;
    }
    if (!channel_->is_quiet()) {
        // What arrived before the request was sent is no answer to it.
        return end_call(call_outcome::not_connected);
    }
    channel_->send(serialize_request(start, dialect_));
    if (is_paused_) {
        channel_->pause_reading();
    }
}

void endpoint_connection::pause()
{
    if (call_ != 0) {
        is_paused_ = true;
        channel_->pause_reading();
    }
}

void endpoint_connection::resume()
{
    if (call_ != 0 && std::exchange(is_paused_, false)) {
        channel_->resume_reading();
    }
}

void endpoint_connection::close()
{
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    // The request of a call that is given up must not reach its endpoint later.
    const auto is_given_up = std::exchange(call_, 0) != 0;
    is_given_up ? channel_->reset() : channel_->close();
    owner_.on_closed(*this);
}

void endpoint_connection::on_bytes(std::string_view bytes)
{
    if (call_ == 0) {
        // No call is in progress, so that the bytes belong to no request.
        return close();
    }
    input_ += bytes;
    read_answers();
    if (!note_unread() && call_ != 0) {
        end_call(call_outcome::broken);
    }
}

bool endpoint_connection::note_unread()
{
    if (input_.empty() || is_closed_) {
        // Between two reads and between two calls a connection keeps no memory.
        input_ = {};
    }
    return holding_.set(input_.empty() ? 0 : input_.capacity());
}

void endpoint_connection::read_answers()
{
    while (call_ != 0 && !input_.empty()) {
        if (!parser_) {
            parser_ = std::make_unique<answer_parser>(max_header_bytes, max_body_bytes);
            parser_->skip(is_head_method_);
            has_head_ = false;
            is_discarding_ = false;
        }
        boost::beast::error_code fault;
        const auto n = parser_->parse(input_, fault);
        input_.erase(0, n);
        if (parser_->is_header_done() && !has_head_ && !process_head()) {
            return;
        }
        discarded_bytes_ += is_discarding_ ? n : 0;
        if (has_head_) {
            forward_body();
        }
        if (call_ == 0) {
            return;
        }
        if (fault || discarded_bytes_ > max_discarded_bytes) {
            return end_call(call_outcome::broken);
        }
        if (parser_->is_done()) {
            if (finish_answer()) {
                return;
            }
            continue;
        }
        if (n == 0) {
            // What the parser leaves is the framing of a chunk or a trailer, for which it has no limit.
            if (input_.size() > max_header_bytes) {
                end_call(call_outcome::broken);
            }
            return;
        }
    }
}

bool endpoint_connection::process_head()
{
    has_head_ = true;
    auto& fields = parser_->fields();
    const auto status = parser_->status();
    // An upgrade of the protocol was not asked for.
    const auto is_status =
        status >= first_status && status <= last_status && status != status_switching_protocols;
    if (!is_status) {
        end_call(call_outcome::broken);
        return false;
    }
    if (status < first_final_status) {
        is_discarding_ = true;
        return true;
    }
    gateway::answer_head head{status, {}};
    head.headers.reserve(fields.size());
    for (auto& it : fields) {
        if (!is_same_header(it.name, "Content-Length") &&
            !is_connection_header(it.name, parser_->connection_values())) {
            head.headers.push_back(std::move(it));
        }
    }
    // What concerns the connection only is not passed on, and thus says nothing to the caller.
    const auto parsed_fields = dialect_.read_answer(status, head.headers);
    const auto is_own = !request_id_.empty() && parsed_fields.request_id == request_id_;
    if (!is_own && !process_foreign_head(parsed_fields.request_id)) {
        return false;
    }
    if (is_discarding_) {
        return true;
    }
    read_keep_alive(fields);
    sink_.on_head(call_, std::move(head), parsed_fields);
    return call_ != 0;
}

bool endpoint_connection::process_foreign_head(std::string_view received_id)
{
    const auto status = parser_->status();
    const auto is_failure_without_id = received_id.empty() && status >= first_status_after_success;
    is_reusable_after_call_ = false;
    if (is_failure_without_id) {
        owner_.on_answer_without_id(*this);
        if (carried_ids_.size() == 1) {
            // The endpoint has received no other request here.
            return true;
        }
    }
    is_discarding_ = true;
    sink_.on_discarded(address_, {status, request_id_, received_id});
    if (is_failure_without_id || has_carried_both_kinds_) {
        end_call(call_outcome::broken);
        return false;
    }
    return true;
}

void endpoint_connection::forward_body()
{
    auto& body = parser_->body();
    if (!is_discarding_ && !body.empty()) {
        sink_.on_part(call_, body);
    }
    if (parser_) {
        parser_->body().clear();
        if (parser_->body().capacity() > max_kept_bytes) {
            parser_->body().shrink_to_fit();
        }
    }
}

bool endpoint_connection::finish_answer()
{
    const auto is_keep_alive = parser_->keep_alive();
    parser_.reset();
    if (is_discarding_) {
        if (!is_keep_alive) {
            end_call(call_outcome::broken);
            return true;
        }
        return false;
    }
    const auto call = std::exchange(call_, 0);
    if (std::exchange(is_paused_, false)) {
        channel_->resume_reading();
    }
    // An endpoint that answered before it read the complete body would parse the rest as the next request.
    if (is_keep_alive && input_.empty() && is_reusable_after_call_ && channel_->pending_bytes() == 0 &&
        carried_ids_.size() < max_calls) {
        idle_since_ = owner_.now();
        owner_.on_call_done(*this);
    }
    else {
        close();
    }
    sink_.on_end(call, call_outcome::complete);
    return true;
}

void endpoint_connection::end_call(call_outcome outcome)
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
        return end_call(call_outcome::not_connected);
    }
    // An answer without a length is complete when the endpoint closes the connection in an orderly way.
    const auto is_complete = end == channel_end::orderly && parser_ && has_head_ && !is_discarding_ &&
                             !parser_->is_done() && parser_->need_eof();
    end_call(is_complete ? call_outcome::complete : call_outcome::broken);
}

void endpoint_connection::read_keep_alive(const std::vector<gateway::header_field>& fields)
{
    constexpr std::string_view name = "timeout=";
    for (const auto& it : fields) {
        const auto position = is_same_header(it.name, "Keep-Alive") ? it.value.find(name) : std::string::npos;
        if (position == std::string::npos) {
            continue;
        }
        unsigned seconds = 0;
        const auto* begin = it.value.data() + position + name.size();
        const auto [end, ec] = std::from_chars(begin, it.value.data() + it.value.size(), seconds);
        if (ec == std::errc{}) {
            idle_timeout_ =
                std::max<duration>(duration::zero(), std::chrono::seconds{seconds} - idle_timeout_margin);
        }
    }
}

} // namespace hemlocknotch::daemon
