#include "caller_connection.hpp"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

constexpr int status_bad_request = 400;
constexpr int status_request_timeout = 408;
constexpr int status_content_too_large = 413;
constexpr int status_fields_too_large = 431;
constexpr int status_unavailable = 503;
constexpr int status_version_not_supported = 505;
constexpr int http_1_1 = 11;
/// Maximum number of bytes of an answer that are buffered for a slow caller; bounds memory.
constexpr std::size_t max_unsent_bytes = std::size_t{8} << 20U;
/// Unsent bytes from which no more should be sent: what a caller at 1 MB a second takes in an eighth of a
/// second, so that it does not run dry while its endpoint begins to send again.
constexpr std::size_t congestion_bytes = std::size_t{128} << 10U;
/// Time that a caller may take to close the connection after its last answer, or to take some of an answer.
constexpr duration close_timeout = std::chrono::seconds{2};
/// Bytes up to which a buffer without content is kept for the next read.
constexpr std::size_t max_kept_bytes = std::size_t{4} << 10U;
/// Added to the idle timeout, so that a request that a caller sends just before the timeout is still read.
constexpr duration idle_timeout_margin = std::chrono::milliseconds{500};

bool has_body(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

std::string hex(std::size_t n)
{
    std::array<char, 16> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), n, 16);
    return {buf.data(), end};
}

/// Returns the memory that a request takes. Short lines take several times their bytes.
std::size_t size_of(const gateway::caller_request& it)
{
    auto out = sizeof it + it.target.capacity() + it.host.capacity() + it.body.capacity() +
               it.headers.capacity() * sizeof(gateway::header_field);
    for (const auto& field : it.headers) {
        out += field.name.capacity() + field.value.capacity();
    }
    return out;
}

int status_of(const boost::beast::error_code& fault)
{
    using boost::beast::http::error;
    if (fault == error::header_limit) {
        return status_fields_too_large;
    }
    return fault == error::body_limit ? status_content_too_large : status_bad_request;
}

} // namespace

caller_connection::caller_connection(event_base* base, int fd, caller_connection_owner& owner)
    : owner_{owner},
      channel_{socket_channel::adopt(base, fd, *this, owner.memory())},
      timer_{base, [this] { on_timeout(); }, event_priority::request}
{
    enter_idle();
}

caller_connection::~caller_connection()
{
    channel_->close();
}

void caller_connection::enter_idle()
{
    owner_.on_yielding(*this, yielding_phase::idle);
    timer_.start(owner_.limits().idle_timeout + idle_timeout_margin);
}

void caller_connection::on_bytes(std::string_view bytes)
{
    if (is_closed_) {
        return;
    }
    input_ += bytes;
    if (is_serving()) {
        return hold_pipelined();
    }
    read_requests();
}

void caller_connection::hold_pipelined()
{
    if (!std::exchange(is_paused_, true)) {
        channel_->pause_reading();
    }
    if (!owner_.note_held(pipelined_, input_.capacity(), true)) {
        drop_pipelined();
    }
}

void caller_connection::drop_pipelined()
{
    std::string{}.swap(input_);
    owner_.note_held(pipelined_, 0, true);
    is_closing_after_answer_ = true;
}

void caller_connection::note_received()
{
    if (input_.empty() && input_.capacity() > max_kept_bytes) {
        std::string{}.swap(input_);
    }
    if (is_serving() && !input_.empty()) {
        return hold_pipelined();
    }
    if (is_closed_ || is_serving() || is_closing_after_answer_) {
        return;
    }
    if (!parser_ && input_.empty()) {
        owner_.note_held(*this, 0, true);
        return;
    }
    owner_.on_yielding(*this, yielding_phase::receiving);
    if (!owner_.note_held(*this, input_.capacity() + (parser_ ? parser_->held_bytes() : 0), true)) {
        give_way();
    }
}

void caller_connection::give_way()
{
    reject(status_unavailable, "Too many bytes of requests are held.");
}

void caller_connection::give_way_to_new()
{
    assert(!is_serving());
    if ((parser_ || !input_.empty()) && !is_closing_after_answer_) {
        reject(status_unavailable, "Too many connections are open.");
    }
    abort();
}

void caller_connection::read_requests()
{
    if (is_reading_) {
        return;
    }
    is_reading_ = true;
    while (!is_closed_ && !is_serving() && !input_.empty() && !is_closing_after_answer_) {
        if (!parser_) {
            const auto& limits = owner_.limits();
            parser_ = std::make_unique<request_parser>(limits.max_header_bytes, limits.max_body_bytes);
            timer_.start(limits.header_timeout);
            owner_.on_yielding(*this, yielding_phase::receiving);
        }
        const auto had_head = parser_->is_header_done();
        if (!had_head && parser_->has_folded_line(input_)) {
            reject(status_bad_request, "A header line is folded.");
            break;
        }
        boost::beast::error_code fault;
        const auto n = parser_->parse(input_, fault);
        input_.erase(0, n);
        if (fault) {
            reject(status_of(fault), fault.message());
            break;
        }
        if (parser_->is_done()) {
            handle_request();
            continue;
        }
        if (parser_->is_header_done() && !had_head) {
            // The complete body must be received within the idle timeout.
            timer_.start(owner_.limits().idle_timeout);
            const auto expects = std::ranges::any_of(
                parser_->fields(), [](const auto& it) { return is_same_header(it.name, "Expect"); });
            if (expects && !has_sent_continue_) {
                has_sent_continue_ = true;
                channel_->send("HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        // What the parser leaves of a body is the framing of a chunk or a trailer, for which it has no limit.
        if (n == 0 && parser_->is_header_done() && input_.size() > owner_.limits().max_header_bytes) {
            reject(status_fields_too_large, "The framing of the body is too long.");
            break;
        }
        if (n == 0 || input_.empty()) {
            break;
        }
    }
    is_reading_ = false;
    note_received();
}

void caller_connection::handle_request()
{
    timer_.stop();
    const auto parser = std::exchange(parser_, nullptr);
    has_sent_continue_ = false;
    is_head_method_ = parser->method() == "HEAD";
    const auto& connection = parser->connection_values();
    is_closing_after_answer_ = has_token(connection, "close");
    if (parser->version() != http_1_1) {
        return reject(status_version_not_supported, "The version is not HTTP/1.1.");
    }
    auto request = std::make_shared<gateway::caller_request>();
    if (auto fault = owner_.dialect().read_request(parser->fields(), request->fields); !fault.empty()) {
        return reject(status_bad_request, fault);
    }
    unsigned hosts = 0;
    for (auto& it : parser->fields()) {
        if (is_same_header(it.name, "Host")) {
            ++hosts;
            request->host = it.value;
        }
        else if (is_same_header(it.name, "Content-Length") || is_same_header(it.name, "Expect") ||
                 owner_.dialect().is_set_by_gateway(it.name)) {
            continue;
        }
        else if (!is_connection_header(it.name, connection) || owner_.dialect().is_part_of_request(it.name)) {
            request->headers.push_back(std::move(it));
        }
    }
    if (hosts != 1 || request->host.empty()) {
        return reject(status_bad_request, "The request names no host, or more than one.");
    }
    request->method = parser->method();
    request->target = parser->target();
    request->body = std::move(parser->body());
    if (!owner_.note_held(*this, size_of(*request) + input_.capacity(), true)) {
        return give_way();
    }
    if (channel_->has_peer_closed()) {
        // Under load a request may be read after its caller has disconnected; its answer would be discarded.
        return close();
    }
    const auto held = size_of(*request);
    owner_.on_request(*this, std::move(request));
    if (is_serving()) {
        owner_.note_held(*this, held, false);
    }
}

void caller_connection::reject(int status, std::string_view reason)
{
    owner_.on_malformed(status, reason);
    is_closing_after_answer_ = true;
    if (parser_) {
        const auto& method = parser_->method();
        is_head_method_ = method.empty() ? input_.starts_with("HEAD ") : method == "HEAD";
        parser_.reset();
    }
    reply({status, {{"Content-Type", "text/plain"}}}, std::string{reason} + "\n");
}

void caller_connection::append_head(std::string& out, const gateway::answer_head& head)
{
    const auto reason =
        boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(head.status));
    out += "HTTP/1.1 " + std::to_string(head.status) + " ";
    out.append(reason.data(), reason.size());
    out += "\r\n";
    for (const auto& it : head.headers) {
        out += it.name;
        out += ": ";
        out += it.value;
        out += "\r\n";
    }
    is_closing_after_answer_ = is_closing_after_answer_ || owner_.is_closing_after_answers();
    if (is_closing_after_answer_) {
        out += "Connection: close\r\n";
    }
}

void caller_connection::reply(const gateway::answer_head& head, std::string_view body)
{
    if (is_closed_) {
        return;
    }
    if (is_streaming_) {
        exchange_ = 0;
        return abort();
    }
    std::string out;
    append_head(out, head);
    if (has_body(head.status)) {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        if (!is_head_method_) {
            out += body;
        }
    }
    else {
        out += "\r\n";
    }
    channel_->send(out);
    finish_answer();
}

void caller_connection::begin_stream(const gateway::answer_head& head)
{
    if (is_closed_) {
        return;
    }
    std::string out;
    append_head(out, head);
    out += has_body(head.status) ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
    is_streaming_ = true;
    is_body_omitted_ = is_head_method_ || !has_body(head.status);
    // Sent together with the first chunk.
    stream_head_ = std::move(out);
}

void caller_connection::send_part(std::string_view bytes)
{
    if (is_closed_ || bytes.empty()) {
        return;
    }
    auto out = std::exchange(stream_head_, {});
    if (!is_body_omitted_) {
        out += hex(bytes.size());
        out += "\r\n";
        out += bytes;
        out += "\r\n";
    }
    channel_->send(out);
    if (channel_->pending_bytes() > max_unsent_bytes || channel_->is_over_memory()) {
        is_unsent_limit_exceeded_ = true;
        timer_.activate();
    }
}

bool caller_connection::is_congested()
{
    is_congestion_reported_ = !is_closed_ && channel_->pending_bytes() > congestion_bytes;
    return is_congestion_reported_;
}

void caller_connection::on_drained()
{
    if (std::exchange(is_congestion_reported_, false) && is_serving()) {
        owner_.on_drained(exchange_);
    }
}

void caller_connection::end_stream()
{
    if (is_closed_) {
        return;
    }
    channel_->send(std::exchange(stream_head_, {}) + (is_body_omitted_ ? "" : "0\r\n\r\n"));
    finish_answer();
}

void caller_connection::finish_answer()
{
    exchange_ = 0;
    owner_.note_held(*this, 0, true);
    is_streaming_ = false;
    is_head_method_ = false;
    owner_.note_held(pipelined_, 0, true);
    unsent_bytes_ = channel_->pending_bytes();
    // The head of a stream may have been sent before the stop began, without `Connection: close`.
    is_closing_after_answer_ = is_closing_after_answer_ || owner_.is_closing_after_answers();
    if (std::exchange(is_paused_, false)) {
        channel_->resume_reading();
    }
    if (is_closing_after_answer_) {
        std::string{}.swap(input_);
        channel_->close_when_drained();
        owner_.on_yielding(*this, yielding_phase::closing);
        timer_.start(close_timeout);
        return;
    }
    enter_idle();
    if (!input_.empty()) {
        owner_.on_yielding(*this, yielding_phase::receiving);
        is_read_pending_ = true;
        timer_.activate();
    }
}

bool caller_connection::is_taking_answer()
{
    const auto before = std::exchange(unsent_bytes_, channel_->pending_bytes());
    return unsent_bytes_ < before;
}

void caller_connection::abort()
{
    const auto exchange = std::exchange(exchange_, 0);
    close();
    if (exchange != 0) {
        owner_.on_disconnected(exchange);
    }
}

void caller_connection::close_if_idle()
{
    const auto is_idle =
        !is_closed_ && !is_closing_after_answer_ && !is_serving() && !parser_ && input_.empty();
    // A request that has arrived and is not read yet is served.
    if (is_idle && !channel_->has_unread_bytes()) {
        is_closing_after_answer_ = true;
        channel_->close_when_drained();
        owner_.on_yielding(*this, yielding_phase::closing);
        timer_.start(close_timeout);
    }
}

void caller_connection::on_peer_closed()
{
    // Otherwise what has arrived is read first.
    if (is_serving()) {
        abort();
    }
}

void caller_connection::on_end(channel_end /*end*/)
{
    abort();
}

void caller_connection::on_timeout()
{
    if (is_closed_) {
        return;
    }
    if (is_unsent_limit_exceeded_) {
        return abort();
    }
    if (std::exchange(is_read_pending_, false)) {
        if (!is_serving()) {
            enter_idle();
            read_requests();
        }
        return;
    }
    if (!is_serving() && (is_closing_after_answer_ || !parser_)) {
        return is_taking_answer() ? timer_.start(close_timeout) : close();
    }
    if (parser_ && !is_serving()) {
        reject(status_request_timeout, "The request was not received in time.");
    }
}

void caller_connection::close()
{
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    timer_.stop();
    channel_->close();
    owner_.note_held(*this, 0, true);
    owner_.note_held(pipelined_, 0, true);
    owner_.on_closed(*this);
}

} // namespace hemlocknotch::daemon
