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

/// What stands in the key-value service under `fencing_key`: the latest number and who took it.
struct fencing_record {
    std::uint64_t number = 0;
    process_identity holder;

    friend bool operator==(const fencing_record&, const fencing_record&) = default;
};

/// Returns the key of the fencing number of `endpoint`.
std::string fencing_key(std::string_view endpoint);

/// Returns `value` as JSON text.
std::string write_fencing_record(const fencing_record& value);

/// Reads what `write_fencing_record` writes. Returns nothing on any other text. Never throws.
std::optional<fencing_record> read_fencing_record(std::string_view text);

/// Takes the fencing number of one endpoint from the key-value service by compare-and-swap, and keeps it. The
/// key is never removed, so that the number never falls; the holder renews by writing the same record again
/// against the version that it knows, which fails once somebody else has taken the next number. Used on the
/// event loop's thread only.
class fencing_holder {
public:
    /// Returns the time on the clock that the gate is asked with.
    using clock = std::function<instant()>;

    /// `store` must outlive the holder. Precondition: `lease` is above zero.
    fencing_holder(key_value_service& store, std::string_view endpoint, process_identity self,
                   fencing_check check, duration lease, clock now);
    ~fencing_holder();
    fencing_holder(const fencing_holder&) = delete;
    fencing_holder& operator=(const fencing_holder&) = delete;
    fencing_holder(fencing_holder&&) = delete;
    fencing_holder& operator=(fencing_holder&&) = delete;

    /// Takes the next number, or renews the one that is held. Call it at a third of the lease while orders
    /// are to be given. Does nothing while an earlier call runs. A call without an answer changes nothing;
    /// the next one settles it.
    void refresh();

    /// Returns the token for an order to be given now; nothing where none may be given.
    [[nodiscard]] std::optional<fencing_token> token() const;

private:
    struct state;

    static void read(const std::shared_ptr<state>& self, instant asked);
    static void take(const std::shared_ptr<state>& self, const store_answer& current);
    static void renew(const std::shared_ptr<state>& self);

    std::shared_ptr<state> state_;
};

} // namespace hemlocknotch
