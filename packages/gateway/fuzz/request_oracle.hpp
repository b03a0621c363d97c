#pragma once

#include <hemlocknotch/gateway/router_port.hpp>
#include <hemlocknotch/gateway/routing_configuration.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace hemlocknotch::gateway {

/// Number of events of each stream, and the text of one, from 1.
inline constexpr std::uint64_t stream_events = 6;
std::string event_text(std::uint64_t n);

/// One request of the fuzz: what endpoints and its caller have seen of it. The functions throw
/// `invariant_violation` where that is not allowed.
struct request_oracle {
    /// Header of endpoints' answers whose value names the call.
    static constexpr std::string_view endpoint_header = "From-Endpoint";

    struct plain_answer {
        int status = 0;
        std::string body;
    };

    std::string id;
    request_kind kind = request_kind::safe;
    bool is_resumable = false;
    unsigned executions = 0;
    bool is_disconnected = false;
    /// The caller has closed its connection, and the gateway has not handled that yet.
    bool has_left = false;
    instant arrived;
    bool is_ended = false;
    /// The caller was answered that the request was not executed and will not be.
    bool is_answered_not_run = false;
    instant ends_at;
    std::uint64_t next_event = 1;
    bool is_stream_begun = false;
    bool is_last_event_seen = false;
    /// Whole answers that are no event streams, by call.
    std::map<std::string, plain_answer> plain_answers;
    /// Calls whose endpoints answered with an event stream, and those with one that was whole without an
    /// event.
    std::set<std::string> streams;
    std::set<std::string> empty_streams;
    std::string stream_call;

    /// A call to an endpoint begins.
    void check_call(instant now) const;
    /// An endpoint begins to execute the request.
    void note_execution();
    /// An endpoint has answered the call with this, completely, and not with an event stream.
    void note_plain_answer(const std::string& call, int status, std::string body);
    /// An endpoint begins an event stream, which `is_empty` says to be whole without an event.
    void note_stream_head(const std::string& call, bool is_empty);
    /// The caller gets an answer, of this gateway or of an endpoint.
    void note_reply(const answer_head& head, std::string_view body);
    void note_stream_begun(const answer_head& head);
    void note_part(std::string_view bytes);
    void note_stream_ended();
    /// The caller's connection is closed.
    void note_abort();
    /// No further answer follows.
    void note_end();
};

} // namespace hemlocknotch::gateway
