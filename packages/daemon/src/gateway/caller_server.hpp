#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/gateway/memory_budget.hpp>
#include <hemlocknotch/gateway/overload_state.hpp>
#include <hemlocknotch/gateway/request_memory.hpp>
#include <hemlocknotch/gateway/router.hpp>

#include "../timer.hpp"
#include "caller_connection.hpp"
#include "yielding_connections.hpp"

#include <boost/leaf/result.hpp>
#include <event2/listener.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlocknotch::daemon {

struct listener_deleter {
    void operator()(evconnlistener* it) const { evconnlistener_free(it); }
};

/// Receives callers' requests and disconnections. Calls come from the event loop.
class caller_request_sink {
public:
    virtual ~caller_request_sink() = default;

    virtual void on_request(gateway::exchange_id exchange,
                            std::shared_ptr<const gateway::caller_request> request) = 0;
    /// The caller disconnected before the answer to `exchange` was complete.
    virtual void on_caller_disconnected(gateway::exchange_id exchange) = 0;
    /// The caller has taken all that was sent to it after `is_congested` had returned true.
    virtual void on_caller_drained(gateway::exchange_id exchange) = 0;
    /// A request was rejected with `status` because it was invalid or was not received in time, or a
    /// connection was refused (status 0).
    virtual void on_malformed(int status, std::string_view reason) = 0;
};

/// Accepts callers' connections, passes their requests to the sink and sends the answers back. Used on the
/// event loop's thread only.
class caller_server final : public caller_connection_owner {
public:
    /// `base`, `dialect`, `sink` and `memory`, in which unsent answers count, must outlive the server.
    /// Precondition: `max_connections` is at least 1.
    caller_server(
        event_base* base, const gateway::message_dialect& dialect, std::size_t max_connections,
        caller_request_sink& sink, gateway::answer_memory& memory,
        std::size_t max_request_bytes =
            gateway::memory_budget::of(gateway::memory_budget::default_instance_bytes).request_bytes);
    ~caller_server() override;

    caller_server(const caller_server&) = delete;
    caller_server(caller_server&&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    caller_server& operator=(caller_server&&) = delete;

    /// Listens on `address`; port 0 lets the system choose one. Returns the address with the actual port, or
    /// a `start_error`.
    boost::leaf::result<endpoint_address> listen(const endpoint_address& address);

    void set_limits(const gateway::caller_limits& limits) { limits_ = limits; }

    /// From now on each connection is closed after its answer.
    void begin_stop() { is_stopping_ = true; }

    /// Returns whether this process has processor time for new callers. While it does not, connections beyond
    /// its limit are refused without their requests being parsed, and others are closed after their answers:
    /// callers connect anew, to an instance with processor time left if the load balancer knows one.
    [[nodiscard]] gateway::overload_state& overload() { return overload_; }

    [[nodiscard]] const gateway::overload_state& overload() const { return overload_; }

    /// Stops accepting connections and closes those that neither read nor serve a request.
    void close_idle_connections();

    /// The functions that answer ignore an exchange whose caller has disconnected.
    void reply(gateway::exchange_id exchange, const gateway::answer_head& head, std::string_view body);
    void begin_stream(gateway::exchange_id exchange, const gateway::answer_head& head);
    void send_part(gateway::exchange_id exchange, std::string_view bytes);
    void end_stream(gateway::exchange_id exchange);
    void abort(gateway::exchange_id exchange);

    /// Returns whether the caller of `exchange` has closed its connection, also where that is not reported
    /// yet.
    [[nodiscard]] bool has_disconnected(gateway::exchange_id exchange);

    /// Returns whether so much of the answer to `exchange` is unsent that no more of it should be sent until
    /// the sink's `on_caller_drained`.
    [[nodiscard]] bool is_congested(gateway::exchange_id exchange);

    [[nodiscard]] std::size_t connection_count() const { return connections_.size(); }

    [[nodiscard]] std::size_t serving_count() const { return serving_.size(); }

    void on_request(caller_connection& connection,
                    std::shared_ptr<const gateway::caller_request> request) override;
    void on_disconnected(gateway::exchange_id exchange) override;
    void on_closed(caller_connection& connection) override;

    void on_malformed(int status, std::string_view reason) override { sink_.on_malformed(status, reason); }

    [[nodiscard]] const gateway::caller_limits& limits() const override { return limits_; }

    [[nodiscard]] const gateway::message_dialect& dialect() const override { return dialect_; }

    [[nodiscard]] bool is_closing_after_answers() const override
    {
        return is_stopping_ || overload_.is_shedding() || connections_.size() > max_connections_ / 2;
    }

    void on_yielding(caller_connection& connection, yielding_phase phase) override;

    void on_drained(gateway::exchange_id exchange) override { sink_.on_caller_drained(exchange); }

    [[nodiscard]] gateway::answer_memory& memory() override { return memory_; }

    bool note_held(gateway::request_holder& holder, std::size_t bytes, bool may_give_way) override;

    /// Returns the bytes of requests that are held.
    [[nodiscard]] std::size_t held_bytes() const { return requests_.bytes(); }

    /// Return how many requests were refused to free memory, and connections closed to make room.
    [[nodiscard]] std::uint64_t requests_given_up() const { return requests_given_up_; }

    [[nodiscard]] std::uint64_t connections_given_up() const { return connections_given_up_; }

private:
    void accept_waiting();
    static void handle_accept(evutil_socket_t listener, short what, void* self);
    /// Accepts nothing for a while, since the system has no descriptor or memory left for a connection.
    void pause_accepting();
    void resume_accepting();
    void accept(int fd);
    /// Closes the connection that gives way to a new one, if there is any.
    void make_room();
    /// Refuses the request that a new connection has brought, or closes it where none has come yet.
    void shed(int fd);
    /// Ends the exchange and returns its connection; null where the caller has disconnected.
    caller_connection* end_exchange(gateway::exchange_id exchange);
    caller_connection* find(gateway::exchange_id exchange);

    event_base* base_;
    const gateway::message_dialect& dialect_;
    std::size_t max_connections_;
    caller_request_sink& sink_;
    gateway::answer_memory& memory_;
    gateway::request_memory requests_;
    gateway::caller_limits limits_;
    /// Owns the listening socket. Its own event is not used, since its priority cannot be set.
    std::unique_ptr<evconnlistener, listener_deleter> listener_;
    /// Has the priority of requests: a flood of connections must not keep the loop from serving them.
    event_ptr accept_event_;
    std::unordered_map<caller_connection*, std::unique_ptr<caller_connection>> connections_;
    std::unordered_map<gateway::exchange_id, caller_connection*> serving_;
    yielding_connections yielding_;
    std::uint64_t requests_given_up_ = 0;
    std::uint64_t connections_given_up_ = 0;
    /// Closed connections, destroyed by `reaper_` outside of their own functions.
    std::vector<std::unique_ptr<caller_connection>> closed_;
    timer reaper_;
    timer accept_again_;
    gateway::exchange_id last_exchange_ = 0;
    bool is_stopping_ = false;
    gateway::overload_state overload_;
};

} // namespace hemlocknotch::daemon
