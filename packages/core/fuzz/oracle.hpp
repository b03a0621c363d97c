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

/// A broken promise.
class invariant_violation : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Throws `invariant_violation` unless `is_satisfied`.
void require(bool is_satisfied, const std::string& invariant);

/// What one caller sent and saw, and how often an endpoint executed it.
struct caller_record {
    std::size_t entry = 0;
    exchange_id exchange = 0;
    bool is_idempotent = false;
    /// Account and key together; empty without a key.
    std::string key;
    std::size_t executions = 0;
    bool has_head = false;
    std::string received;
    std::uint64_t consumed = 0;
    bool is_finished = false;
    bool is_reported_not_run = false;
};

/// Judges what callers see against what endpoints executed. Callers are numbered; the number is the target of
/// the request, and the answer's body follows from it alone, so that a crossed answer is seen.
class oracle {
public:
    /// Returns the body that the endpoints answer caller `n` with.
    static std::string body_of(std::size_t n);

    /// Adds a caller and returns its number.
    std::size_t add(caller_record value);

    /// Takes in that an endpoint has begun to execute the request of caller `n`.
    void on_execute(std::size_t n);

    /// Takes in what an entry does to the exchange of caller `n`.
    void on_head(std::size_t n);
    void on_part(std::size_t n, const std::string& bytes, std::size_t window);
    void on_end(std::size_t n);
    void on_abort(std::size_t n, const refusal& reason);
    void on_refusal(std::size_t n, const refusal& reason);

    /// Takes in that the caller has gone, or that its entry has.
    void on_disconnect(std::size_t n);

    /// Requires that every caller has its final answer.
    void require_all_finished() const;

    /// Returns a caller's record.
    [[nodiscard]] caller_record& at(std::size_t n) { return callers_.at(n); }

    /// Returns how many callers ended with each outcome, for people.
    [[nodiscard]] const std::map<std::string, std::size_t>& outcomes() const { return outcomes_; }

private:
    void finish(std::size_t n, const std::string& outcome);
    void check_verdict(caller_record& it, const refusal& reason);

    std::vector<caller_record> callers_;
    std::map<std::string, std::size_t> executions_by_key_;
    std::map<std::string, std::size_t> outcomes_;
};

} // namespace hemlocknotch::fuzz
