#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace hemlocknotch::gateway {

/// Holds memory of a request that can be refused.
class request_holder {
public:
    virtual ~request_holder() = default;

    /// Refuses the request and holds nothing afterwards.
    virtual void give_way() = 0;
};

/// Bounds the memory of all requests that callers make a gateway hold, whole or not, and decides which one
/// gives way. Used by one thread at a time.
class request_memory {
public:
    explicit request_memory(std::size_t max_bytes) : max_bytes_{max_bytes} {}

    /// Replaces what `it` holds; 0: nothing. `may_give_way`: its request is not being served, so that it can
    /// be refused.
    void set(request_holder& it, std::size_t bytes, bool may_give_way);

    /// Returns the holder to be refused next: where the requests are too large together, the one that holds
    /// most. Null where they are not, or all of them are being served.
    [[nodiscard]] request_holder* to_give_way() const;

    [[nodiscard]] std::size_t bytes() const { return bytes_; }

private:
    struct holding {
        std::size_t bytes = 0;
        bool may_give_way = true;
    };

    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    std::map<request_holder*, holding> holdings_;
};

} // namespace hemlocknotch::gateway
