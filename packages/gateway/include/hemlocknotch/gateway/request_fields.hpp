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

/// One part of a prompt. A part that several prompts begin with is read once where it is kept.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;
};

/// What a request says of itself.
struct request_fields {
    /// Names one try of one caller.
    std::string id;
    /// How long the caller waits.
    std::optional<duration> caller_timeout;
    /// Secret that names the client account.
    std::string key;
    /// Tokens of the prompt, and the most that may be generated. Zero: not stated.
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_output_tokens = 0;
    /// The caller's own estimate of what is generated; right in the middle and often far off. Zero: not
    /// stated.
    std::uint64_t output_hint = 0;
    /// In order. The last one is the request's or its session's own.
    std::vector<prompt_part> prompt;
    /// The caller continues a stream after this event.
    std::string last_event_id;
};

/// Load that an endpoint tells with its answers.
struct reported_load {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
};

/// What an answer says of itself.
struct answer_fields {
    /// Id of the request that it answers; empty where it does not say.
    std::string request_id;
    /// Carries the endpoint's signature over the answer.
    bool is_signed = false;
    /// The endpoint states that it has not executed the request.
    bool is_not_executed = false;
    /// The body is a stream of events.
    bool is_event_stream = false;
    /// Content coding other than identity: the body is not the endpoint's own.
    bool is_encoded = false;
    std::optional<reported_load> load;
};

/// How the users' platform spells requests and answers. Implementations are stateless; safe to share between
/// threads.
class message_dialect {
public:
    virtual ~message_dialect() = default;

    /// Reads what `headers` of a caller's request say. Returns what is wrong with them, or an empty text;
    /// `fields` then holds what was read.
    [[nodiscard]] virtual std::string read_request(const std::vector<header_field>& headers,
                                                   request_fields& fields) const = 0;

    /// Returns whether a caller's header `name` is replaced or removed on the way to an endpoint.
    [[nodiscard]] virtual bool is_set_by_gateway(std::string_view name) const = 0;

    /// Returns whether `name` says what is to be executed, so that it is passed on in any case.
    [[nodiscard]] virtual bool is_part_of_request(std::string_view name) const = 0;

    /// Appends the headers that go with a request to an endpoint: its remaining time, the endpoint meant, the
    /// account's name (empty: none), and the event to continue after (empty: none).
    virtual void append_endpoint_headers(std::string& out, duration remaining, std::string_view instance,
                                         std::string_view account, std::string_view last_event_id) const = 0;

    /// Reads what the headers of an endpoint's answer with `status` say.
    [[nodiscard]] virtual answer_fields read_answer(int status,
                                                    const std::vector<header_field>& headers) const = 0;

    /// Returns the path at which the balancer asks for readiness.
    [[nodiscard]] virtual std::string_view readiness_path() const = 0;
};

} // namespace hemlocknotch::gateway
