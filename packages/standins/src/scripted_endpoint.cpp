#include <hemlocknotch/standins/scripted_endpoint.hpp>

#include "raw_request.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <csignal>
#include <deque>
#include <string_view>
#include <utility>

namespace hemlocknotch::standins {
namespace {

std::size_t number_of(const std::string& text)
{
    return text.empty() ? 0 : std::stoul(text);
}

/// Returns the second word of the request line.
std::string path_of(std::string_view head)
{
    const auto begin = head.find(' ') + 1;
    return std::string{head.substr(begin, head.find(' ', begin) - begin)};
}

} // namespace

/// One connection, whose requests are answered in turn.
struct scripted_endpoint::connection {
    connection(scripted_endpoint& of, int fd)
        : owner{of},
          stream{bufferevent_socket_new(of.base_, fd, BEV_OPT_CLOSE_ON_FREE)},
          pace{of.base_, [this] { send_next_part(); }},
          ended{of.base_, [this] { owner.remove(this); }}
    {
        bufferevent_setcb(stream, on_read, on_written, on_event, this);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }

    ~connection() { bufferevent_free(stream); }

    connection(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(const connection&) = delete;
    connection& operator=(connection&&) = delete;

    static void on_read(bufferevent* /*stream*/, void* self)
    {
        auto& that = *static_cast<connection*>(self);
        auto* input = bufferevent_get_input(that.stream);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        that.received += bytes;
        while (that.read_request()) {
        }
    }

    /// Answers the next request; returns whether it has arrived as a whole.
    bool read_request()
    {
        const auto head_size = received.find(end_of_head);
        if (is_ending || head_size == std::string::npos) {
            return false;
        }
        const auto head = received.substr(0, head_size + 2);
        const auto size = number_of(header_value(head, "Content-Length"));
        const auto body_at = head_size + end_of_head.size();
        if (received.size() < body_at + size) {
            return false;
        }
        const scripted_request request{.id = header_value(head, "X-Request-Id"),
                                       .path = path_of(head),
                                       .body = received.substr(body_at, size),
                                       .last_event = number_of(header_value(head, "Last-Event-Id"))};
        received.erase(0, body_at + size);
        begin_answer(request);
        return true;
    }

    void begin_answer(const scripted_request& request)
    {
        pace.stop();
        for (const auto& it : std::exchange(parts, {})) {
            write(it.bytes);
        }
        ++owner.executions[request.id];
        auto answer = owner.answer_(request);
        parts.assign(std::make_move_iterator(answer.parts.begin()),
                     std::make_move_iterator(answer.parts.end()));
        end = answer.end;
        await_next_part();
    }

    void await_next_part()
    {
        while (!parts.empty() && parts.front().wait == duration::zero()) {
            write(parts.front().bytes);
            parts.pop_front();
        }
        if (!parts.empty()) {
            return pace.start(parts.front().wait);
        }
        if (end == scripted_end::reset) {
            constexpr linger discard{.l_onoff = 1, .l_linger = 0};
            setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        }
        is_ending = end != scripted_end::keep;
        end_when_written();
    }

    void send_next_part()
    {
        write(parts.front().bytes);
        parts.pop_front();
        await_next_part();
    }

    void write(const std::string& bytes) const { bufferevent_write(stream, bytes.data(), bytes.size()); }

    void end_when_written()
    {
        if (is_ending && evbuffer_get_length(bufferevent_get_output(stream)) == 0) {
            ended.start(duration::zero());
        }
    }

    static void on_written(bufferevent* /*stream*/, void* self)
    {
        static_cast<connection*>(self)->end_when_written();
    }

    static void on_event(bufferevent* /*stream*/, short /*what*/, void* self)
    {
        static_cast<connection*>(self)->ended.start(duration::zero());
    }

    scripted_endpoint& owner;
    bufferevent* stream;
    /// Sends the next part.
    timer pace;
    /// Removes this connection, outside the calls that it is in.
    timer ended;
    std::string received;
    std::deque<scripted_part> parts;
    scripted_end end = scripted_end::keep;
    bool is_ending = false;
};

scripted_endpoint::scripted_endpoint(event_base* base, const endpoint_address& address, script answer)
    : base_{base}, answer_{std::move(answer)}, listener_{base, address, [this](int fd) {
                                                             connections_.push_back(
                                                                 std::make_unique<connection>(*this, fd));
                                                         }}
{
    // A write to a connection that the client has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

scripted_endpoint::~scripted_endpoint() = default;

void scripted_endpoint::remove(const connection* it)
{
    std::erase_if(connections_, [&](const auto& owned) { return owned.get() == it; });
}

} // namespace hemlocknotch::standins
