#pragma once

#include <hemlocknotch/core/request_id.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace hemlocknotch::detail {

/// Identifies one dispatch of a request.
struct dispatch_key {
    request_id id;
    std::uint32_t attempt = 1;

    friend auto operator<=>(const dispatch_key&, const dispatch_key&) = default;
};

/// Short numbers for the dispatches on one link, which frequent messages contain instead of the full key.
/// Both ends number the submits and resolves in the order in which these pass over the link. Since a link
/// preserves that order, both ends assign the same numbers without negotiation, as with the dynamic table of
/// HPACK (RFC 7541). Not thread-safe.
class dispatch_numbers {
public:
    /// A number is used for sending until this many further numbers have been assigned, and accepted for
    /// twice as many. The margin covers numbers that one end has assigned and the other has not yet, since
    /// their messages are in transit; these are far fewer.
    static constexpr std::size_t use_window = 4096;

    /// Assigns the next number to `key`. Called at both ends, for each submit and resolve that is sent or
    /// received.
    void add(const dispatch_key& key);

    /// Returns the number to send for `key`; nothing if it has none or its number is too old to use.
    [[nodiscard]] std::optional<std::uint64_t> number_of(const dispatch_key& key) const;

    /// Returns the dispatch with `number`; nothing if the number is unknown or no longer retained.
    [[nodiscard]] std::optional<dispatch_key> find(std::uint64_t number) const;

private:
    static constexpr std::size_t retained_window = 2 * use_window;

    /// The retained dispatches in the order of their numbers; the front one has number `first_`.
    std::deque<dispatch_key> keys_;
    std::uint64_t first_ = 0;
    std::map<dispatch_key, std::uint64_t> latest_;
};

} // namespace hemlocknotch::detail
