#include <hemlocknotch/standins/kept_connection_caller.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <algorithm>
#include <cassert>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

namespace hemlocknotch::standins {
namespace {

constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::size_t status_position = 9;

std::string lower_case(std::string_view text)
{
    std::string out{text};
    std::ranges::transform(out, out.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

/// How much of a body has come.
enum class body_state : std::uint8_t { partial, complete, malformed };

/// Reads a number that ends with the line. Returns nothing where it is malformed.
std::optional<std::size_t> read_number(std::string_view text, int base)
{
    std::size_t out = 0;
    const auto line = text.substr(0, text.find("\r\n"));
    const auto [end, ec] = std::from_chars(line.data(), line.data() + line.size(), out, base);
    return ec == std::errc{} && end == line.data() + line.size() ? std::optional{out} : std::nullopt;
}

/// Appends the decoded chunks to `out`, and removes from `text` what was decoded.
body_state decode_chunks(std::string_view& text, std::string& out)
{
    constexpr int hexadecimal = 16;
    for (;;) {
        const auto end = text.find("\r\n");
        if (end == std::string_view::npos) {
            return body_state::partial;
        }
        const auto size = read_number(text, hexadecimal);
        if (!size) {
            return body_state::malformed;
        }
        text.remove_prefix(end + 2);
        if (text.size() < *size + 2) {
            return body_state::partial;
        }
        if (*size == 0) {
            text.remove_prefix(2);
            return body_state::complete;
        }
        out += text.substr(0, *size);
        text.remove_prefix(*size + 2);
    }
}

/// Reads into `out` the body of an answer with the lower-case `head`, and removes it from `rest`.
body_state read_body(std::string_view head, std::string_view& rest, std::string& out)
{
    if (head.find("transfer-encoding: chunked") != std::string_view::npos) {
        return decode_chunks(rest, out);
    }
    constexpr std::string_view name = "content-length: ";
    constexpr int decimal = 10;
    const auto position = head.find(name);
    const auto size = position == std::string_view::npos
                          ? std::optional<std::size_t>{0}
                          : read_number(head.substr(position + name.size()), decimal);
    if (!size) {
        return body_state::malformed;
    }
    out = rest.substr(0, *size);
    const auto is_partial = rest.size() < *size;
    rest.remove_prefix(out.size());
    return is_partial ? body_state::partial : body_state::complete;
}

int status_of(std::string_view head)
{
    int out = 0;
    if (head.size() > status_position) {
        std::from_chars(head.data() + status_position, head.data() + head.size(), out);
    }
    return out;
}

} // namespace

void kept_connection_caller::bufferevent_deleter::operator()(bufferevent* it) const
{
    bufferevent_free(it);
}

kept_connection_caller::kept_connection_caller(event_base* base, endpoint_address gateway, callback done)
    : base_{base},
      gateway_{std::move(gateway)},
      done_{std::move(done)},
      timeout_{base, [this] { end_incomplete(false); }},
      failed_{base, [this] { end({}, false); }}
{
}

kept_connection_caller::~kept_connection_caller() = default;

void kept_connection_caller::send(const std::string& request, duration timeout)
{
    assert(!is_waiting_);
    is_waiting_ = true;
    input_.clear();
    if (!connection_) {
        connect();
    }
    bufferevent_write(connection_.get(), request.data(), request.size());
    timeout_.start(timeout);
}

void kept_connection_caller::send_more(const std::string& bytes)
{
    if (is_waiting_) {
        bufferevent_write(connection_.get(), bytes.data(), bytes.size());
    }
}

void kept_connection_caller::connect()
{
    is_connected_ = false;
    connection_.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(connection_.get(), on_readable, nullptr, on_event, this);
    bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
    sockaddr_storage storage{};
    int n = sizeof storage;
    evutil_parse_sockaddr_port(gateway_.to_string().c_str(), reinterpret_cast<sockaddr*>(&storage), &n);
    if (bufferevent_socket_connect(connection_.get(), reinterpret_cast<sockaddr*>(&storage), n) != 0) {
        failed_.start(duration::zero());
    }
}

void kept_connection_caller::on_readable(bufferevent* from, void* self)
{
    auto& that = *static_cast<kept_connection_caller*>(self);
    auto* input = bufferevent_get_input(from);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    if (!that.is_waiting_) {
        that.unsolicited_ += bytes;
        return;
    }
    that.input_ += bytes;
    that.read_answer();
}

void kept_connection_caller::read_answer()
{
    const auto position = input_.find(head_end);
    if (position == std::string::npos) {
        return;
    }
    const auto head = lower_case(std::string_view{input_}.substr(0, position + 2));
    kept_connection_answer answer;
    auto rest = std::string_view{input_}.substr(position + head_end.size());
    const auto state = read_body(head, rest, answer.body);
    if (state == body_state::partial) {
        return;
    }
    answer.status = status_of(head);
    answer.is_malformed = state == body_state::malformed || answer.status == 0;
    answer.received = answer.is_malformed ? input_ : "";
    answer.head = head;
    unsolicited_ += answer.is_malformed ? std::string_view{} : rest;
    end(answer, head.find("connection: close") == std::string::npos);
}

void kept_connection_caller::on_event(bufferevent* /*from*/, short what, void* self)
{
    auto& that = *static_cast<kept_connection_caller*>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        that.is_connected_ = true;
        return;
    }
    if (that.is_waiting_) {
        that.end_incomplete(that.is_connected_);
    }
    else {
        that.connection_.reset();
    }
}

void kept_connection_caller::end_incomplete(bool was_closed)
{
    kept_connection_answer answer{.was_closed = was_closed};
    const auto position = input_.find(head_end);
    if (position != std::string::npos) {
        const auto head = lower_case(std::string_view{input_}.substr(0, position + 2));
        constexpr int ok = 200;
        auto rest = std::string_view{input_}.substr(position + head_end.size());
        if (status_of(head) == ok) {
            read_body(head, rest, answer.partial_body);
        }
    }
    end(std::move(answer), false);
}

void kept_connection_caller::end(kept_connection_answer answer, bool keeps_connection)
{
    answer.unsolicited = std::exchange(unsolicited_, {});
    is_waiting_ = false;
    timeout_.stop();
    failed_.stop();
    if (!keeps_connection) {
        connection_.reset();
    }
    done_(answer);
}

} // namespace hemlocknotch::standins
