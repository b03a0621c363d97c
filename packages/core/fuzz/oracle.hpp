#pragma once

#include <hemlocknotch/core/entry_effect.hpp>
#include <hemlocknotch/core/entry_event.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace hemlocknotch::fuzz {

/// Thrown when entries, agents or endpoints violate an invariant; `what()` states the invariant.
class invariant_violation : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Throws `invariant_violation` unless `is_satisfied`.
void require(bool is_satisfied, const std::string& invariant);

/// What one caller has sent and received, and how often endpoints have executed its request.
struct caller_record {
    std::size_t entry = 0;
    exchange_id exchange = 0;
    bool is_idempotent = false;
    /// Client account and idempotency key, joined by a slash; empty without a key.
    std::string key;
    std::size_t executions = 0;
    bool has_head = false;
    std::string received;
    /// Bytes of `received` that the caller has read from its connection.
    std::uint64_t consumed = 0;
    /// Whether the caller has its final answer, or its exchange ended without one.
    bool is_finished = false;
    bool is_reported_not_run = false;
};

/// Checks the answers that callers receive against what the endpoints executed. Callers are numbered. The
/// number is the target of the request and alone determines the body of the answer, so that mismatched
/// answers are detected.
class oracle {
public:
    /// Returns the body with which endpoints answer caller `n`.
    static std::string body_of(std::size_t n);

    /// Adds a caller and returns its number.
    std::size_t add(caller_record value);

    /// Records that an endpoint has begun to execute the request of caller `n`.
    void on_execute(std::size_t n);

    /// Record what an entry sends on the exchange of caller `n`. `window` limits the bytes that the caller
    /// has not consumed yet.
    void on_head(std::size_t n);
    void on_part(std::size_t n, const std::string& bytes, std::size_t window);
    void on_end(std::size_t n);
    void on_abort(std::size_t n, const refusal& reason);
    void on_refusal(std::size_t n, const refusal& reason);

    /// Records that the caller has disconnected or that its entry has restarted.
    void on_disconnect(std::size_t n);

    /// Throws `invariant_violation` unless every caller has its final answer, has disconnected or was
    /// connected to an entry that has restarted.
    void require_all_finished() const;

    /// Returns a caller's record.
    [[nodiscard]] caller_record& at(std::size_t n) { return callers_.at(n); }

    /// Returns the number of callers per outcome, for printing.
    [[nodiscard]] const std::map<std::string, std::size_t>& outcomes() const { return outcomes_; }

private:
    void finish(std::size_t n, const std::string& outcome);
    void check_verdict(caller_record& it, const refusal& reason);

    std::vector<caller_record> callers_;
    std::map<std::string, std::size_t> executions_by_key_;
    std::map<std::string, std::size_t> outcomes_;
};

} // namespace hemlocknotch::fuzz
