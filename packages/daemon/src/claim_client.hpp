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

/// What the key-value service holds under an idempotency key.
struct claim_record {
    std::string request_id;
    /// `claimed`, `ran` or `may-have-run`.
    std::string state;
};

/// Returns the key under which the claim of `idempotency_key` by `client_account` is kept. Two different
/// pairs never have the same key.
std::string claim_path(std::string_view client_account, std::string_view idempotency_key);

/// Returns `record` as it is kept, and reads it back; nothing on any other text.
std::string write_claim(const claim_record& record);
std::optional<claim_record> read_claim(std::string_view text);

/// How often and how fast claims are tried.
struct claim_options {
    /// Calls made for one claim or settlement, the first included.
    std::uint32_t max_tries = 5;
    duration retry_delay = std::chrono::milliseconds{50};
    /// Claims and settlements under way at once; beyond it a claim is `unavailable`.
    std::size_t max_pending = 4096;
};

/// Claims idempotency keys in the key-value service by compare-and-swap with the request's id as token, so
/// that a write whose answer was lost is found by reading back. Used by the event loop's thread only.
class claim_client {
public:
    using callback = std::function<void(const claim_result_event&)>;

    /// `base` and `store` must outlive the keeper. Precondition: `done` is not empty.
    claim_client(event_base* base, key_value_service& store, const claim_options& options, callback done);
    ~claim_client();
    claim_client(const claim_client&) = delete;
    claim_client(claim_client&&) = delete;
    claim_client& operator=(const claim_client&) = delete;
    claim_client& operator=(claim_client&&) = delete;

    /// Claims a key; `done` is called once, later, with the outcome.
    void claim(const claim_key_effect& wanted);

    /// Records how the request that holds the claim ended. Tried a bounded number of times.
    void settle(const settle_claim_effect& ended);

    /// Returns the number of claims and settlements under way.
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
    /// Ended operations, destroyed before the loop waits again.
    std::vector<std::unique_ptr<operation>> ended_;
    timer clean_up_;
};

} // namespace hemlocknotch::daemon
