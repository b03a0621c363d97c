#pragma once

#include <hemlocknotch/core/account_key.hpp>
#include <hemlocknotch/core/link_id.hpp>
#include <hemlocknotch/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace hemlocknotch {

/// A place that is kept for one request.
struct issued_grant {
    std::uint64_t number = 0;
    link_id link = 0;
    account_key client_account;
    /// Charged to the client account when the grant was issued, in units.
    double charged = 0.0;
    instant expires;
};

/// The grants that are out. Each is used once at the most. Not safe for use by two threads at once.
class grant_table {
public:
    /// Precondition: `time_to_live` is above zero.
    explicit grant_table(duration time_to_live);

    /// Issues a grant. Returns it; its number is never given again.
    const issued_grant& issue(link_id link, account_key client_account, double charged, instant now);

    /// Removes and returns grant `number` if it is out, was issued on `link` and has not expired at `now`;
    /// nothing otherwise.
    std::optional<issued_grant> take(std::uint64_t number, link_id link, instant now);

    /// Removes and returns the grants that have expired at `now`.
    std::vector<issued_grant> take_expired(instant now);

    /// Removes and returns all grants issued on `link`.
    std::vector<issued_grant> take_for_link(link_id link);

    /// Returns the number of grants that are out.
    [[nodiscard]] std::size_t size() const { return grants_.size(); }

    /// Returns when the next grant expires; nothing where none is out.
    [[nodiscard]] std::optional<instant> next_expiry() const;

private:
    duration time_to_live_;
    std::uint64_t last_number_ = 0;
    /// By number, which is also the order of expiry.
    std::map<std::uint64_t, issued_grant> grants_;
};

} // namespace hemlocknotch
