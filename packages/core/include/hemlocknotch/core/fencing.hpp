#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <optional>

namespace hemlocknotch {

/// Whether an engine rejects orders with an outdated fencing number.
enum class fencing_check : std::uint8_t { checked_by_engine, ignored_by_engine };

/// Fencing token that orders to an engine carry. Each holder's number is higher than its predecessor's.
struct fencing_token {
    std::uint64_t number = 0;
    /// End of the holder's lease by the holder's clock.
    instant lease_end;
};

/// Decides when the holder of a fencing number may give an order (Kleppmann, "Designing Data-Intensive
/// Applications", 2017, chapter 8). Not safe for use by two threads at once.
class fencing_gate {
public:
    /// Precondition: `lease` is above zero.
    fencing_gate(fencing_check check, duration lease);

    /// Records that this process requested the number at `requested` and learnt at `answered` that it had
    /// acquired it. `predecessor_may_hold` is false only if no process has held a number before.
    /// Preconditions: `number` is above zero and not below one held before; `requested` is not after
    /// `answered`.
    void on_acquired(std::uint64_t number, instant requested, instant answered, bool predecessor_may_hold);

    /// Records that the lease was renewed by a call that began at `requested`.
    void on_renewed(instant requested);

    /// Records that the number or the lease was lost.
    void on_lost();

    /// Returns the token to put into an order at `now`. Returns nothing if no order may be given: this
    /// process holds no number, its lease has expired by its own clock, or the predecessor's lease may still
    /// be valid.
    [[nodiscard]] std::optional<fencing_token> token(instant now) const;

private:
    fencing_check check_;
    duration lease_;
    std::optional<fencing_token> held_;
    instant not_before_;
};

} // namespace hemlocknotch
