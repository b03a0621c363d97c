#include <hemlocknotch/standins/endless_endpoint.hpp>

#include "raw_request.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace hemlocknotch::standins {
namespace {

/// Bytes that are queued at once where the answer is sent as fast as possible.
constexpr std::size_t burst_bytes = std::size_t{64} << 10U;

std::string with_id(std::string text, const std::string& id)
{
    constexpr std::string_view mark = "{id}";
    for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at + id.size())) {
        text.replace(at, mark.size(), id);
    }
    return text;
}

} // namespace

/// One connection, on which the first request is answered.
struct endless_endpoint::connection {
    connection(endless_endpoint& of, int fd)
        : owner{of},
          stream{bufferevent_socket_new(of.base_, fd, BEV_OPT_CLOSE_ON_FREE)},
          pace{of.base_, [this] { send_filler(); }}
    {
        bufferevent_setcb(stream, on_read, on_written, on_event, this);
        evbuffer_add_cb(bufferevent_get_output(stream), on_output, this);
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
        if (that.is_answering) {
            return;
        }
        that.received += bytes;
        if (that.received.find(end_of_head) != std::string::npos) {
            that.begin_answer();
        }
    }

    void begin_answer()
    {
        is_answering = true;
        ++owner.request_count_;
        answer = owner.answer;
        const auto id = header_value(received, owner.id_header_);
        ++owner.executions[id];
        const auto begin = with_id(answer.begin, id);
        bufferevent_write(stream, begin.data(), begin.size());
        send_filler();
    }

    void send_filler()
    {
        if (answer.pause > duration::zero()) {
            bufferevent_write(stream, answer.filler.data(), answer.filler.size());
            pace.start(answer.pause);
            return;
        }
        std::string burst;
        while (burst.size() < burst_bytes) {
            burst += answer.filler;
        }
        bufferevent_write(stream, burst.data(), burst.size());
    }

    static void on_written(bufferevent* /*stream*/, void* self)
    {
        auto& that = *static_cast<connection*>(self);
        if (that.is_answering && that.answer.pause == duration::zero()) {
            that.send_filler();
        }
    }

    static void on_output(evbuffer* /*buffer*/, const evbuffer_cb_info* info, void* self)
    {
        static_cast<connection*>(self)->owner.sent_bytes_ += info->n_deleted;
    }

    static void on_event(bufferevent* /*stream*/, short /*what*/, void* self)
    {
        auto* that = static_cast<connection*>(self);
        that->owner.remove(that);
    }

    endless_endpoint& owner;
    bufferevent* stream;
    timer pace;
    std::string received;
    endless_answer answer;
    bool is_answering = false;
};

endless_endpoint::endless_endpoint(event_base* base, const endpoint_address& address, std::string id_header)
    : base_{base}, id_header_{std::move(id_header)}, listener_{base, address, [this](int fd) {
                                                                   connections_.push_back(
                                                                       std::make_unique<connection>(*this,
                                                                                                    fd));
                                                               }}
{
    // A write to a connection that the client has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

endless_endpoint::~endless_endpoint() = default;

void endless_endpoint::remove(const connection* it)
{
    std::erase_if(connections_, [&](const auto& owned) { return owned.get() == it; });
}

} // namespace hemlocknotch::standins
