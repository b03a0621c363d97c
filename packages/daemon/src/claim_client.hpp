#pragma once

#include <hemlocknotch/coordination/key_value_service.hpp>
#include <hemlocknotch/core/entry_effect.hpp>
#include <hemlocknotch/core/entry_event.hpp>
#include <hemlocknotch/core/time.hpp>

#include "timer.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlocknotch::daemon {

/// Claim of an idempotency key as stored in the key-value service.
struct claim_record {
    std::string request_id;
    /// `claimed`, `ran` or `may-have-run`.
    std::string state;
};

/// Returns the key of the key-value service under which the claim of `idempotency_key` by `client_account` is
/// stored. Two different pairs never have the same key.
std::string claim_path(std::string_view client_account, std::string_view idempotency_key);

/// Serializes `record` to JSON, and parses that. `read_claim` returns nothing if `text` is not a claim.
std::string write_claim(const claim_record& record);
std::optional<claim_record> read_claim(std::string_view text);

/// Limits and timing of the calls to the key-value service.
struct claim_options {
    /// Maximum number of attempts for one claim or settlement, the first included.
    std::uint32_t max_attempts = 5;
    /// The delay before a retry is this times the number of the attempt.
    duration retry_delay = std::chrono::milliseconds{50};
    /// Maximum number of claims and settlements in progress at once. Further claims end as `unavailable`.
    std::size_t max_pending = 4096;
};

/// Claims idempotency keys in the key-value service by compare-and-swap. A record contains the id of its
/// request, so that a write whose answer was lost is recognized when the record is read. Used by the event
/// loop's thread only.
class claim_client {
public:
    using callback = std::function<void(const claim_result_event&)>;

    /// `base` and `store` must outlive the client. Precondition: `done` is not empty.
    claim_client(event_base* base, key_value_service& store, const claim_options& options, callback done);
    ~claim_client();
    claim_client(const claim_client&) = delete;
    claim_client(claim_client&&) = delete;
    claim_client& operator=(const claim_client&) = delete;
    claim_client& operator=(claim_client&&) = delete;

    /// Claims a key. `done` is called once with the outcome, never from within this call.
    void claim(const claim_key_effect& effect);

    /// Records how the request that holds the claim ended; removes the claim if the request did not run.
    /// Gives up silently after `max_attempts`.
    void settle(const settle_claim_effect& effect);

    /// Returns the number of claims and settlements in progress.
    [[nodiscard]] std::size_t pending_count() const { return operations_.size(); }

private:
    class operation;

    operation& start(const request_id& id, std::string path);
    void try_claim(operation& it);
    void on_claim_answer(operation& it, const store_answer& answer);
    void try_settle(operation& it);
    void on_settle_answer(operation& it, const store_answer& answer);
    void end_claim(operation& it, claim_outcome outcome);
    void release(operation& it);
    bool retry(operation& it, void (claim_client::*step)(operation&));
    void finish(operation& it);

    event_base* base_;
    key_value_service& store_;
    claim_options options_;
    callback done_;
    std::uint64_t last_number_ = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<operation>> operations_;
    /// Operations that have ended. They are destroyed before the event loop waits again, since a callback of
    /// theirs may still be running.
    std::vector<std::unique_ptr<operation>> ended_;
    timer clean_up_;
};

} // namespace hemlocknotch::daemon
