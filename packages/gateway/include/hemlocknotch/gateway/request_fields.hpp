#pragma once

#include <hemlocknotch/core/message.hpp>
#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway {

using hemlocknotch::header_field;

/// One part of a prompt. An endpoint that has it cached need not read it again for other prompts that begin
/// with it.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;
};

/// Fields of a request that the gateway uses.
struct request_fields {
    /// Identifies one attempt of one caller.
    std::string id;
    /// Time for which the caller waits for the answer.
    std::optional<duration> caller_timeout;
    /// Secret that identifies the client account.
    std::string key;
    /// Tokens of the prompt, and the maximum number that may be generated. Zero: not given.
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_output_tokens = 0;
    /// The caller's estimate of the tokens that are generated: right on average, often far off. Zero: not
    /// given.
    std::uint64_t output_hint = 0;
    /// In order. The last part belongs to this request or its session only.
    std::vector<prompt_part> prompt;
    /// Id of the event after which the caller resumes a stream; empty if it does not.
    std::string last_event_id;
    /// Id of the caller's attempt that brought the first event of the resumed stream; empty if not given.
    std::string resumed_request_id;
};

/// Load that an endpoint reports with its answers.
struct reported_load {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// How long work takes at present, in percent of the usual time; nothing where it is not stated.
    std::optional<unsigned> pace_percent;
};

/// Fields of an answer that the gateway uses.
struct answer_fields {
    /// Id of the request that it answers; empty if not given.
    std::string request_id;
    /// Whether it carries the endpoint's signature over the answer.
    bool is_signed = false;
    /// Whether the endpoint states that it did not execute the request.
    bool is_not_executed = false;
    /// Whether the body is a stream of events.
    bool is_event_stream = false;
    /// Whether a content coding other than identity is applied, so that the body is not the endpoint's own.
    bool is_encoded = false;
    std::optional<reported_load> load;
    bool has_unreadable_load = false;
    /// Time for which the endpoint, if it rejects the request, wants no further ones from this gateway.
    std::optional<duration> pause;
    bool has_unreadable_pause = false;
    /// Whether the endpoint states that it leaves.
    bool is_leaving = false;
    /// Requests per second that the endpoint takes from all gateways together, as long as its answers say so;
    /// empty: no limit is stated.
    std::optional<double> request_limit;
    /// Whether a limit is stated that cannot be read.
    bool has_unreadable_limit = false;
};

/// Message format of the users' platform: reads the headers of requests and answers and writes those for
/// endpoints. Implementations are stateless and safe to share between threads.
class message_dialect {
public:
    virtual ~message_dialect() = default;

    /// Reads the headers of a caller's request into `fields`. Returns a description of the fault in them, or
    /// an empty text if there is none.
    [[nodiscard]] virtual std::string read_request(const std::vector<header_field>& headers,
                                                   request_fields& fields) const = 0;

    /// Returns whether the gateway replaces or removes the caller's header `name` in requests to endpoints.
    [[nodiscard]] virtual bool is_set_by_gateway(std::string_view name) const = 0;

    /// Returns whether the header `name` determines what is executed, so that it is always passed on.
    [[nodiscard]] virtual bool is_part_of_request(std::string_view name) const = 0;

    /// Appends the headers of a request to an endpoint: its remaining time, the endpoint that it is meant
    /// for, the name of the account (empty: none), and the id of the event to resume after (empty: none).
    virtual void append_endpoint_headers(std::string& out, duration remaining, std::string_view instance,
                                         std::string_view account, std::string_view last_event_id) const = 0;

    /// Reads the headers of an endpoint's answer with `status`.
    [[nodiscard]] virtual answer_fields read_answer(int status,
                                                    const std::vector<header_field>& headers) const = 0;

    /// Returns the path at which the load balancer checks readiness.
    [[nodiscard]] virtual std::string_view readiness_path() const = 0;
};

} // namespace hemlocknotch::gateway
