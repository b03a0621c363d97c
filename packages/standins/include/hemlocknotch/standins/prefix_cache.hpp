#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <vector>

namespace hemlocknotch::standins {

/// One change of the set of cached prompt beginnings.
struct cache_event {
    std::uint64_t number = 0;
    bool is_added = false;
    std::uint64_t prefix = 0;
    instant at;
};

/// The prompt beginnings that an engine has cached: the last used, up to a number. Keeps a log of changes, of
/// which each `gap_every`th is lost. Not thread-safe.
class prefix_cache {
public:
    /// Precondition: `capacity` above 0. `gap_every` 0 loses none.
    prefix_cache(std::size_t capacity, std::uint64_t gap_every);

    /// Uses `prefix` at time `at` and returns whether it was cached.
    bool use(std::uint64_t prefix, instant at);

    /// Forgets everything but the log.
    void clear(instant at);

    /// Returns the changes with numbers above `after` that happened until `until`, oldest first.
    [[nodiscard]] std::vector<cache_event> events_after(std::uint64_t after, instant until) const;

private:
    void record(bool is_added, std::uint64_t prefix, instant at);

    std::size_t capacity_;
    std::uint64_t gap_every_;
    std::uint64_t last_number_ = 0;
    std::list<std::uint64_t> cached_;
    std::vector<cache_event> log_;
};

} // namespace hemlocknotch::standins
