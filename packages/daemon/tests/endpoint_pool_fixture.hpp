#pragma once

#include "gateway/endpoint_pool.hpp"
#include "plain_dialect.hpp"
#include "process_clock.hpp"
#include "test_loop.hpp"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <event2/listener.h>
#include <netinet/in.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hemlocknotch::daemon {

/// An endpoint that answers each request with the next of a list of raw answers.
class scripted_endpoint {
public:
    explicit scripted_endpoint(event_base* base) : base_{base}
    {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener_.reset(evconnlistener_new_bind(base, on_accept, this, LEV_OPT_CLOSE_ON_FREE, 8,
                                                reinterpret_cast<sockaddr*>(&at), sizeof at));
        socklen_t length = sizeof at;
        getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &length);
        port = ntohs(at.sin_port);
    }

    void close_all() { streams_.clear(); }

    /// Reads from the connections that were accepted while `reads` was false.
    void resume_reading()
    {
        for (const auto& it : streams_) {
            bufferevent_enable(it.get(), EV_READ);
        }
    }

    /// Returns the descriptor of the last connection.
    [[nodiscard]] int descriptor() const { return bufferevent_getfd(streams_.back().get()); }

    /// Hands bytes to the kernel at once, on every connection, which is accepted first where it waits.
    void send_now(const std::string& bytes)
    {
        const auto waiting = ::accept(evconnlistener_get_fd(listener_.get()), nullptr, nullptr);
        if (waiting >= 0) {
            on_accept(nullptr, waiting, nullptr, 0, this);
        }
        for (const auto& it : streams_) {
            ::send(bufferevent_getfd(it.get()), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        }
    }

    std::vector<std::string> answers;
    /// Sent once more on a connection that has carried an answer, before the next one.
    std::string repeated;
    /// The bytes of an answer are handed to the kernel one by one.
    bool sends_bytewise = false;
    /// Closes each connection after an answer.
    bool closes_after_answer = false;
    /// The connection is reset then, not closed in an orderly way.
    bool resets = false;
    /// Reads what connections bring.
    bool reads = true;
    std::size_t accepted = 0;
    /// Connections that the other side has ended, and whether it reset the last one.
    std::size_t ended = 0;
    bool was_reset = false;
    std::string received;
    unsigned short port = 0;

private:
    struct deleter {
        void operator()(evconnlistener* it) const { evconnlistener_free(it); }
    };

    static void on_accept(evconnlistener* /*listener*/, evutil_socket_t fd, sockaddr* /*at*/, int /*n*/,
                          void* self)
    {
        auto& that = *static_cast<scripted_endpoint*>(self);
        ++that.accepted;
        auto* stream = bufferevent_socket_new(that.base_, fd, BEV_OPT_CLOSE_ON_FREE);
        that.answered_.erase(stream);
        that.streams_.emplace_back(stream);
        bufferevent_setcb(stream, on_read, on_written, on_event, self);
        bufferevent_enable(stream, EV_WRITE);
        if (that.reads) {
            bufferevent_enable(stream, EV_READ);
        }
    }

    static void on_event(bufferevent* /*stream*/, short what, void* self)
    {
        auto& that = *static_cast<scripted_endpoint*>(self);
        that.ended += (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0 ? 1U : 0U;
        that.was_reset = (what & BEV_EVENT_ERROR) != 0;
    }

    static void on_read(bufferevent* stream, void* self)
    {
        auto& that = *static_cast<scripted_endpoint*>(self);
        auto* input = bufferevent_get_input(stream);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        that.received += bytes;
        if (bytes.find("\r\n\r\n") == std::string::npos || that.answers.empty()) {
            return;
        }
        auto answer = that.answers.front();
        that.answers.erase(that.answers.begin());
        that.has_answered_ = true;
        if (!that.answered_.insert(stream).second) {
            answer = that.repeated + answer;
        }
        for (const auto& it : that.sends_bytewise ? answer : std::string{}) {
            ::send(bufferevent_getfd(stream), &it, 1, MSG_NOSIGNAL);
        }
        if (!that.sends_bytewise) {
            bufferevent_write(stream, answer.data(), answer.size());
        }
    }

    static void on_written(bufferevent* stream, void* self)
    {
        auto& that = *static_cast<scripted_endpoint*>(self);
        if (that.closes_after_answer && std::exchange(that.has_answered_, false)) {
            if (that.resets) {
                const linger discard{.l_onoff = 1, .l_linger = 0};
                ::setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
            }
            std::erase_if(that.streams_, [&](const auto& it) { return it.get() == stream; });
        }
    }

    event_base* base_;
    bool has_answered_ = false;
    std::set<bufferevent*> answered_;
    std::unique_ptr<evconnlistener, deleter> listener_;
    std::vector<std::unique_ptr<bufferevent, bufferevent_deleter>> streams_;
};

/// Records what the pool reports of the last call.
class answer_recorder final : public endpoint_answer_sink {
public:
    void on_connected(gateway::call_id call) override
    {
        if (connected) {
            connected(call);
        }
    }

    void on_head(gateway::call_id call, gateway::answer_head head,
                 const gateway::answer_fields& /*fields*/) override
    {
        if (call == last_call) {
            status = head.status;
        }
    }

    void on_part(gateway::call_id /*call*/, std::string_view bytes) override { body += bytes; }

    void on_end(gateway::call_id /*call*/, gateway::call_outcome it) override
    {
        outcome = it;
        ++end_count;
    }

    void on_discarded(const endpoint_address& /*from*/, const discarded_answer& it) override
    {
        discarded_ids.emplace_back(it.received_id);
    }

    std::function<void(gateway::call_id)> connected;
    gateway::call_id last_call = 0;
    int status = 0;
    std::string body;
    gateway::call_outcome outcome = gateway::call_outcome::broken;
    int end_count = 0;
    /// Ids that discarded answers carried.
    std::vector<std::string> discarded_ids;
};

struct pool_fixture {
    void call(const std::string& id, bool is_unrepeatable = false, unsigned max_connections = 0)
    {
        auto request = std::make_shared<gateway::caller_request>();
        request->method = method;
        request->target = "/a";
        request->host = "h";
        request->headers = {{"Id", id}};
        request->body = body;
        request->fields.id = id;
        recorder.status = 0;
        recorder.body.clear();
        pool.start({.call = ++recorder.last_call,
                    .request = request,
                    .address = *endpoint_address::parse("127.0.0.1:" + std::to_string(endpoint.port)),
                    .instance = "i-1",
                    .account = "acme",
                    .remaining = std::chrono::seconds{1},
                    .resume_after = "",
                    .is_unrepeatable = is_unrepeatable,
                    .max_connections = max_connections});
    }

    bool wait_for_end()
    {
        const auto before = recorder.end_count;
        return loop.run_until([&] { return recorder.end_count > before; });
    }

    [[nodiscard]] instant now() const { return fixed_now.value_or(clock.now()); }

    test_loop loop;
    process_clock clock;
    /// Where set, time stands still.
    std::optional<instant> fixed_now;
    /// Of the requests.
    std::string method = "POST";
    std::string body = "abc";
    plain_dialect dialect;
    scripted_endpoint endpoint{loop.base()};
    answer_recorder recorder;
    gateway::answer_memory memory;
    endpoint_pool pool{loop.base(), dialect, recorder, memory, [this] { return now(); }};
};

inline std::string answer(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id +
           "\r\nSignature: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace hemlocknotch::daemon
