#pragma once

#include <hemlocknotch/gateway/router_port.hpp>

#include "../timer.hpp"
#include "endpoint_connection.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace hemlocknotch::daemon {

/// Pool of persistent connections to endpoints. A connection is not kept for a while where the endpoint has
/// sent a failure without an id: only the first answer of a connection can be attributed to a call without
/// one. Used on the event loop's thread only.
class endpoint_pool final : public endpoint_connection_owner {
public:
    /// `base`, `dialect`, `sink` and `memory`, in which unread answers count, must outlive the pool. `now`
    /// returns the monotonic time.
    endpoint_pool(event_base* base, const gateway::message_dialect& dialect, endpoint_answer_sink& sink,
                  gateway::answer_memory& memory, std::function<instant()> now);
    ~endpoint_pool() override;

    endpoint_pool(const endpoint_pool&) = delete;
    endpoint_pool(endpoint_pool&&) = delete;
    endpoint_pool& operator=(const endpoint_pool&) = delete;
    endpoint_pool& operator=(endpoint_pool&&) = delete;

    /// Starts a call on an idle connection or a new one. Its events go to the sink later, never from within
    /// this function.
    void start(const gateway::call_start& start);
    /// Ends a call and closes its connection. The sink is not called for the call any more.
    void cancel(gateway::call_id call);
    /// Cancels a call whose connection is not established yet. Returns false for any other call.
    bool recall(gateway::call_id call);

    /// Stop and resume reading the answer of a call.
    void pause(gateway::call_id call);
    void resume(gateway::call_id call);

    [[nodiscard]] std::uint64_t opened_count() const { return opened_count_; }

    [[nodiscard]] std::size_t connection_count() const { return connections_.size(); }

    void on_call_done(endpoint_connection& connection) override;
    void on_answer_without_id(endpoint_connection& connection) override;
    void on_closed(endpoint_connection& connection) override;

    [[nodiscard]] instant now() const override { return now_(); }

private:
    /// Returns null where no idle connection to the address is reusable.
    endpoint_connection* acquire_idle(const gateway::call_start& start);
    [[nodiscard]] endpoint_connection* find_idle(const gateway::call_start& start) const;
    [[nodiscard]] bool is_kept_open(const endpoint_address& address) const;
    /// Returns null where the limit of connections is reached or no socket could be opened.
    endpoint_connection* open(const gateway::call_start& start);
    /// Destroys closed connections and reports the calls that could not be started.
    void run_deferred();

    event_base* base_;
    const gateway::message_dialect& dialect_;
    endpoint_answer_sink& sink_;
    gateway::answer_memory& memory_;
    std::function<instant()> now_;
    std::unordered_map<endpoint_connection*, std::unique_ptr<endpoint_connection>> connections_;
    /// All connections to an address, the one used last at the end.
    std::map<endpoint_address, std::vector<endpoint_connection*>> by_address_;
    std::unordered_map<gateway::call_id, endpoint_connection*> calls_;
    /// Endpoints that have sent a failure without an id, and until when each call there gets a connection of
    /// its own.
    std::map<endpoint_address, instant> single_use_until_;
    std::vector<std::unique_ptr<endpoint_connection>> closed_;
    std::vector<gateway::call_id> unstarted_calls_;
    timer deferred_;
    std::uint64_t opened_count_ = 0;
};

} // namespace hemlocknotch::daemon
