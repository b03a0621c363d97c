#pragma once

#include <cassert>
#include <cstddef>

namespace hemlocknotch::gateway {

/// Parts of an instance's memory that callers' requests and endpoints' answers may take.
struct memory_budget {
    static constexpr std::size_t default_instance_bytes = 110'000'000;
    static constexpr std::size_t min_instance_bytes = 40'000'000;
    /// What a process takes without load.
    static constexpr std::size_t process_bytes = 22'000'000;

    std::size_t request_bytes = 0;
    /// Half of what answers may take together, see `answer_memory`.
    std::size_t answer_bytes = 0;

    /// Returns the budget of an instance with `instance_bytes`. What it leaves is for the process itself, its
    /// connections and what allocations lose. Precondition: at least `min_instance_bytes`. Thread-safe.
    static constexpr memory_budget of(std::size_t instance_bytes)
    {
        assert(instance_bytes >= min_instance_bytes);
        const auto available = instance_bytes - process_bytes;
        return {.request_bytes = available * 2 / 7, .answer_bytes = available / 5};
    }
};

} // namespace hemlocknotch::gateway
