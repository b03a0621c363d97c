#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/link_id.hpp>
#include <hemlocknotch/core/log_record.hpp>
#include <hemlocknotch/core/message.hpp>
#include <hemlocknotch/core/metric_effect.hpp>
#include <hemlocknotch/core/refusal.hpp>
#include <hemlocknotch/core/request_id.hpp>
#include <hemlocknotch/core/span_effect.hpp>
#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Effects: everything that the reducer of an entry process can ask its shell to do.
namespace hemlocknotch {

/// Send a message on a link. The message is dropped if the link has closed in the meantime.
struct send_effect {
    link_id link = 0;
    message content;
};

/// Open a link to an agent. The shell answers with `link_opened_event` or `link_closed_event`.
struct open_link_effect {
    link_id link = 0;
    endpoint_address address;
};

/// Close a link immediately. The shell answers with `link_closed_event`.
struct close_link_effect {
    link_id link = 0;
    std::string reason;
};

/// Start the caller's answer with status and headers; the body follows in chunks.
struct reply_head_effect {
    exchange_id exchange = 0;
    request_id id;
    std::uint32_t status = 200;
    std::vector<header_field> headers;
};

/// Send bytes of the answer's body to the caller.
struct reply_part_effect {
    exchange_id exchange = 0;
    std::string bytes;
};

/// The answer is complete: send the final chunk.
struct reply_end_effect {
    exchange_id exchange = 0;
};

/// The answer cannot be completed: close the connection early so that the caller notices.
struct reply_abort_effect {
    exchange_id exchange = 0;
    refusal reason;
};

/// Answer the caller with a refusal.
struct reply_refusal_effect {
    exchange_id exchange = 0;
    request_id id;
    refusal reason;
};

/// Claim an idempotency key in the key-value service by compare-and-swap. The shell answers with
/// `claim_result_event`.
struct claim_key_effect {
    request_id id;
    std::string client_account;
    std::string key;
};

/// Record the outcome of the request that holds the claim: keep the claim (`ran`, `may_have_run`) or release
/// it (`not_run`).
struct settle_claim_effect {
    request_id id;
    std::string client_account;
    std::string key;
    verdict outcome = verdict::may_have_run;
};

/// Parse and validate this configuration document. The shell answers with `configuration_event` if it is
/// valid.
struct read_configuration_effect {
    std::uint64_t revision = 0;
    std::string document;
};

/// Start or stop watching the configuration in the key-value service.
struct watch_store_effect {
    bool is_wanted = false;
};

/// Send a `tick_event` at `at`. Replaces the previously scheduled time.
struct schedule_tick_effect {
    instant at;
};

/// Set the result of the readiness check that the load balancer uses.
struct readiness_effect {
    bool is_ready = false;
};

/// All accepted requests have ended after a `stop_event`: the process may exit.
struct stopped_effect {};

/// Any effect of an entry process.
using entry_effect =
    std::variant<send_effect, open_link_effect, close_link_effect, reply_head_effect, reply_part_effect,
                 reply_end_effect, reply_abort_effect, reply_refusal_effect, claim_key_effect,
                 settle_claim_effect, read_configuration_effect, watch_store_effect, schedule_tick_effect,
                 readiness_effect, stopped_effect, log_effect, metric_effect, span_effect>;

} // namespace hemlocknotch
