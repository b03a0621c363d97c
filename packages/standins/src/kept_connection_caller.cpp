#include <hemlocknotch/standins/kept_connection_caller.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <algorithm>
#include <cassert>
#include <cctype>
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

/// Returns the decoded chunks; nothing where the last one has not come.
std::optional<std::string> decode_chunks(std::string_view text)
{
    std::string out;
    for (;;) {
        const auto end = text.find("\r\n");
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        const auto size = std::stoul(std::string{text.substr(0, end)}, nullptr, 16);
        text.remove_prefix(end + 2);
        if (text.size() < size + 2) {
            return std::nullopt;
        }
        if (size == 0) {
            return out;
        }
        out += text.substr(0, size);
        text.remove_prefix(size + 2);
    }
}

/// Returns the complete body of an answer with the lower-case `head`; nothing where a part is missing.
std::optional<std::string> complete_body(std::string_view head, std::string_view rest)
{
    if (head.find("transfer-encoding: chunked") != std::string_view::npos) {
        return decode_chunks(rest);
    }
    constexpr std::string_view name = "content-length: ";
    const auto position = head.find(name);
    const auto size =
        position == std::string_view::npos ? 0 : std::stoul(std::string{head.substr(position + name.size())});
    return rest.size() < size ? std::nullopt : std::optional<std::string>{rest.substr(0, size)};
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
      timeout_{base, [this] { end({}, false); }},
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
    that.input_ += bytes;
    that.read_answer();
}

void kept_connection_caller::read_answer()
{
    const auto position = input_.find(head_end);
    if (!is_waiting_ || position == std::string::npos) {
        return;
    }
    const auto head = lower_case(std::string_view{input_}.substr(0, position + 2));
    const auto body = complete_body(head, std::string_view{input_}.substr(position + head_end.size()));
    if (body) {
        const auto status = std::stoi(head.substr(status_position));
        end({status, *body, false}, head.find("connection: close") == std::string::npos);
    }
}

void kept_connection_caller::on_event(bufferevent* /*from*/, short what, void* self)
{
    auto& that = *static_cast<kept_connection_caller*>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        that.is_connected_ = true;
        return;
    }
    if (that.is_waiting_) {
        that.end({0, "", that.is_connected_}, false);
    }
    else {
        that.connection_.reset();
    }
}

void kept_connection_caller::end(kept_connection_answer answer, bool keeps_connection)
{
    is_waiting_ = false;
    timeout_.stop();
    failed_.stop();
    if (!keeps_connection) {
        connection_.reset();
    }
    done_(answer);
}

} // namespace hemlocknotch::standins
