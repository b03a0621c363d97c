#pragma once

#include <hemlocknotch/coordination/key_value_service.hpp>
#include <hemlocknotch/core/fencing.hpp>
#include <hemlocknotch/core/process_identity.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch {

/// Value stored in the key-value service under `fencing_key`: the highest number issued and its holder.
struct fencing_record {
    std::uint64_t number = 0;
    process_identity holder;

    friend bool operator==(const fencing_record&, const fencing_record&) = default;
};

/// Returns the key of the fencing record of `endpoint`.
std::string fencing_key(std::string_view endpoint);

/// Returns `value` as JSON text.
std::string write_fencing_record(const fencing_record& value);

/// Parses the output of `write_fencing_record`. Returns nothing for any other text. Never throws.
std::optional<fencing_record> read_fencing_record(std::string_view text);

/// Acquires and renews the fencing number of one endpoint by compare-and-swap in the key-value service. The
/// key is never removed, so the number never decreases. The holder renews by writing the same record again,
/// expecting the version of its previous write; this fails once another process has acquired the next number.
/// Use it on the event loop's thread only.
class fencing_holder {
public:
    /// Returns the current time, on one clock for renewals and for checks of the lease.
    using clock = std::function<instant()>;

    /// `store` must outlive the holder. Precondition: `lease` is above zero.
    fencing_holder(key_value_service& store, std::string_view endpoint, process_identity self,
                   fencing_check check, duration lease, clock now);
    ~fencing_holder();
    fencing_holder(const fencing_holder&) = delete;
    fencing_holder& operator=(const fencing_holder&) = delete;
    fencing_holder(fencing_holder&&) = delete;
    fencing_holder& operator=(fencing_holder&&) = delete;

    /// Acquires the next number, or renews the one that is held. While orders are to be given, call it at
    /// intervals of a third of the lease. Does nothing while an earlier refresh is in progress. If the store
    /// does not answer, the state stays as it is, and the next refresh finds out whether the write took
    /// effect.
    void refresh();

    /// Returns the token for an order given now; nothing if this process may not give orders.
    [[nodiscard]] std::optional<fencing_token> token() const;

private:
    struct state;

    static void read_record(const std::shared_ptr<state>& self, instant requested_at);
    static void acquire(const std::shared_ptr<state>& self, const store_answer& current);
    static void renew(const std::shared_ptr<state>& self);

    std::shared_ptr<state> state_;
};

} // namespace hemlocknotch
