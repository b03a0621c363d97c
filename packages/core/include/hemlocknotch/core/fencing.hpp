#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <optional>

namespace hemlocknotch {

/// Whether an engine refuses an order with an old fencing number.
enum class fencing_check : std::uint8_t { checked_by_engine, ignored_by_engine };

/// A number that orders to an engine carry; each holder's is higher than its predecessor's.
struct fencing_token {
    std::uint64_t number = 0;
    /// End of the holder's lease by its own clock.
    instant lease_end;
};

/// Decides when the holder of a fencing number may give an order (Kleppmann, "Designing Data-Intensive
/// Applications", 2017, chapter 8). Not safe for use by two threads at once.
class fencing_gate {
public:
    /// Precondition: `lease` is above zero.
    fencing_gate(fencing_check check, duration lease);

    /// Tells that this process asked for the number at `asked` and learnt at `answered` that it won it.
    /// `predecessor_may_hold` is false only where no one held the number before. Preconditions: `number` is
    /// above zero and not below one held before; `asked` is not after `answered`.
    void on_acquired(std::uint64_t number, instant asked, instant answered, bool predecessor_may_hold);

    /// Tells that the lease was renewed by a call that began at `asked`.
    void on_renewed(instant asked);

    /// Tells that the number or the lease was lost.
    void on_lost();

    /// Returns the token to put into an order at `now`; nothing where none may be given: no number held, the
    /// lease has lapsed by this process's clock, or the predecessor's lease is still waited out.
    [[nodiscard]] std::optional<fencing_token> token(instant now) const;

private:
    fencing_check check_;
    duration lease_;
    std::optional<fencing_token> held_;
    instant not_before_;
};

} // namespace hemlocknotch
