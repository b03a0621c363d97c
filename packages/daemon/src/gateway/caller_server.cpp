#include "caller_server.hpp"

#include <hemlocknotch/wire/socket_address.hpp>

#include "../start_error.hpp"

#include <boost/leaf/error.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <string_view>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

/// Connections that the kernel queues until they are accepted. Holds a second's worth at the highest
/// connection rates, in case this process gets no processor time for so long.
constexpr int accept_backlog = 1024;
/// Answer to the first request of a connection that comes while this process lacks processor time. Its caller
/// should soon try another instance.
constexpr std::string_view shed_answer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.1\r\n"
                                         "Connection: close\r\nContent-Length: 0\r\n\r\n";
/// Bytes of such a request that are read, since the kernel resets a connection that is closed with unread
/// ones and may drop the answer: most requests are shorter.
constexpr std::size_t shed_read_size = std::size_t{64} << 10U;

/// Closes a descriptor at the end of its scope.
class socket_descriptor {
public:
    explicit socket_descriptor(int fd) : fd_{fd} {}

    ~socket_descriptor() { ::close(fd_); }

    socket_descriptor(const socket_descriptor&) = delete;
    socket_descriptor(socket_descriptor&&) = delete;
    socket_descriptor& operator=(const socket_descriptor&) = delete;
    socket_descriptor& operator=(socket_descriptor&&) = delete;

private:
    int fd_;
};

/// Time without accepting after the system had no descriptor or memory for a connection.
constexpr duration accept_pause = std::chrono::milliseconds{100};

bool is_lack_of_resources(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

bool is_readable(int fd)
{
    pollfd it{fd, POLLIN, 0};
    return ::poll(&it, 1, 0) > 0;
}

} // namespace

caller_server::caller_server(event_base* base, const gateway::message_dialect& dialect,
                             std::size_t max_connections, caller_request_sink& sink,
                             gateway::answer_memory& memory, std::size_t max_request_bytes)
    : base_{base},
      dialect_{dialect},
      max_connections_{max_connections},
      sink_{sink},
      memory_{memory},
      requests_{max_request_bytes},
      reaper_{base, [this] { closed_.clear(); }, event_priority::request},
      accept_again_{base, [this] { resume_accepting(); }, event_priority::request}
{
    assert(max_connections >= 1);
}

caller_server::~caller_server() = default;

boost::leaf::result<endpoint_address> caller_server::listen(const endpoint_address& address)
{
    const auto at = detail::socket_address::of(address);
    listener_.reset(evconnlistener_new_bind(base_, nullptr, nullptr,
                                            LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC |
                                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_DISABLED,
                                            accept_backlog, at.get(), at.length()));
    if (!listener_) {
        const auto error = errno;
        return boost::leaf::new_error(
            start_error{"cannot listen on " + address.to_string() + " for callers: " + std::strerror(error),
                        "Choose an address of this instance and a free port.", may_pass(error)});
    }
    const auto fd = evconnlistener_get_fd(listener_.get());
    accept_event_.reset(event_new(base_, fd, EV_READ | EV_PERSIST, handle_accept, this));
    assert(accept_event_);
    set_priority(*accept_event_, event_priority::request);
    event_add(accept_event_.get(), nullptr);
    return detail::socket_address::bound_to(fd);
}

void caller_server::handle_accept(evutil_socket_t /*listener*/, short /*what*/, void* self)
{
    static_cast<caller_server*>(self)->accept_waiting();
}

void caller_server::accept_waiting()
{
    const auto listener = evconnlistener_get_fd(listener_.get());
    for (;;) {
        const auto fd = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) {
            accept(fd);
        }
        else if (is_lack_of_resources(errno)) {
            // The kernel reports a lack of descriptors before it looks whether a connection waits.
            const auto is_full = errno == EMFILE;
            if (!is_readable(listener)) {
                return;
            }
            if (!is_full || yielding_.next() == nullptr) {
                return pause_accepting();
            }
            make_room();
        }
        else if (errno != EINTR && errno != ECONNABORTED) {
            if (errno != EAGAIN && errno != EWOULDBLOCK) {
                sink_.on_malformed(0, "accept-failed");
            }
            return;
        }
    }
}

void caller_server::pause_accepting()
{
    sink_.on_malformed(0, "accept-failed");
    // The connection that waits keeps the listener readable, so that the loop would call again at once.
    event_del(accept_event_.get());
    accept_again_.start(accept_pause);
}

void caller_server::resume_accepting()
{
    if (accept_event_) {
        event_add(accept_event_.get(), nullptr);
    }
}

void caller_server::shed(int fd)
{
    // Closed with the function. What is read is not looked at: nothing has run, whatever it asks for.
    const socket_descriptor owned{fd};
    static std::array<char, shed_read_size> buf;
    if (::recv(fd, buf.data(), buf.size(), MSG_DONTWAIT) > 0) {
        static_cast<void>(::send(fd, shed_answer.data(), shed_answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
        ::shutdown(fd, SHUT_WR);
    }
}

void caller_server::accept(int fd)
{
    if (!overload_.take_connection()) {
        return shed(fd);
    }
    if (connections_.size() >= max_connections_) {
        make_room();
    }
    if (connections_.size() >= max_connections_) {
        ::close(fd);
        sink_.on_malformed(0, "too-many-connections");
        return;
    }
    auto created = std::make_unique<caller_connection>(base_, fd, *this);
    auto* key = created.get();
    connections_.emplace(key, std::move(created));
}

void caller_server::make_room()
{
    // A new connection probably brings a request at once; another one that is not served may bring none.
    if (auto* it = yielding_.next()) {
        ++connections_given_up_;
        it->give_way_to_new();
    }
}

void caller_server::close_idle_connections()
{
    if (listener_) {
        // The kernel resets the connections that are still queued when the listener is closed.
        accept_waiting();
        accept_event_.reset();
        listener_.reset();
    }
    std::vector<caller_connection*> all;
    all.reserve(connections_.size());
    for (const auto& [it, owned] : connections_) {
        all.push_back(it);
    }
    for (auto* it : all) {
        it->close_if_idle();
    }
}

void caller_server::on_request(caller_connection& connection,
                               std::shared_ptr<const gateway::caller_request> request)
{
    const auto exchange = ++last_exchange_;
    serving_.emplace(exchange, &connection);
    yielding_.remove(connection);
    connection.set_exchange(exchange);
    sink_.on_request(exchange, std::move(request));
}

void caller_server::on_disconnected(gateway::exchange_id exchange)
{
    serving_.erase(exchange);
    sink_.on_caller_disconnected(exchange);
}

void caller_server::on_yielding(caller_connection& connection, yielding_phase phase)
{
    yielding_.set(connection, phase);
}

void caller_server::on_closed(caller_connection& connection)
{
    yielding_.remove(connection);
    const auto it = connections_.find(&connection);
    assert(it != connections_.end());
    closed_.push_back(std::move(it->second));
    connections_.erase(it);
    reaper_.activate();
}

bool caller_server::note_held(gateway::request_holder& holder, std::size_t bytes, bool may_give_way)
{
    requests_.set(holder, bytes, may_give_way);
    if (bytes == 0) {
        return true;
    }
    while (auto* it = requests_.to_give_way()) {
        ++requests_given_up_;
        if (it == &holder) {
            return false;
        }
        it->give_way();
    }
    return true;
}

caller_connection* caller_server::find(gateway::exchange_id exchange)
{
    const auto it = serving_.find(exchange);
    return it == serving_.end() ? nullptr : it->second;
}

bool caller_server::has_disconnected(gateway::exchange_id exchange)
{
    const auto* it = find(exchange);
    return it == nullptr || it->has_peer_closed();
}

bool caller_server::is_congested(gateway::exchange_id exchange)
{
    auto* it = find(exchange);
    return it != nullptr && it->is_congested();
}

caller_connection* caller_server::end_exchange(gateway::exchange_id exchange)
{
    auto* out = find(exchange);
    serving_.erase(exchange);
    return out;
}

void caller_server::reply(gateway::exchange_id exchange, const gateway::answer_head& head,
                          std::string_view body)
{
    if (auto* it = end_exchange(exchange)) {
        it->reply(head, body);
    }
}

void caller_server::begin_stream(gateway::exchange_id exchange, const gateway::answer_head& head)
{
    if (auto* it = find(exchange)) {
        it->begin_stream(head);
    }
}

void caller_server::send_part(gateway::exchange_id exchange, std::string_view bytes)
{
    if (auto* it = find(exchange)) {
        it->send_part(bytes);
    }
}

void caller_server::end_stream(gateway::exchange_id exchange)
{
    if (auto* it = end_exchange(exchange)) {
        it->end_stream();
    }
}

void caller_server::abort(gateway::exchange_id exchange)
{
    if (auto* it = end_exchange(exchange)) {
        it->set_exchange(0);
        it->abort();
    }
}

} // namespace hemlocknotch::daemon
