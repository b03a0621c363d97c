#pragma once

#include <hemlocknotch/core/request_id.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace hemlocknotch::detail {

/// One dispatch of one request.
struct dispatch_key {
    request_id id;
    std::uint32_t attempt = 1;

    friend auto operator<=>(const dispatch_key&, const dispatch_key&) = default;
};

/// Short numbers for the dispatches on one link, so that frequent messages need not carry the whole key. Both
/// ends number the submits and resolves in the order in which they pass; the link keeps that order, so they
/// agree without a word (like the table of HPACK, RFC 7541). Used by one thread.
class dispatch_numbers {
public:
    /// A number is used for sending while fewer than this many came after it, and understood for twice as
    /// long. The peer may be behind by what is on its way, which is far less.
    static constexpr std::size_t use_window = 4096;

    /// Gives the next number to `key`. Called by the sender and the receiver of a submit or a resolve.
    void add(const dispatch_key& key);

    /// Returns the number to send for `key`; nothing where it has none or an old one.
    [[nodiscard]] std::optional<std::uint64_t> number_of(const dispatch_key& key) const;

    /// Returns the dispatch with `number`; nothing where it is not known any more.
    [[nodiscard]] std::optional<dispatch_key> find(std::uint64_t number) const;

private:
    static constexpr std::size_t keep_window = 2 * use_window;

    /// Dispatches by number, beginning with number `first_`.
    std::deque<dispatch_key> keys_;
    std::uint64_t first_ = 0;
    std::map<dispatch_key, std::uint64_t> latest_;
};

} // namespace hemlocknotch::detail
