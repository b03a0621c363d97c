#pragma once

#include <string>

namespace hemlocknotch::standins {

/// A block of loopback addresses that no other program uses at the same time. It is reserved by a socket that
/// is bound to one of them. One thread.
class loopback_block {
public:
    /// Throws std::runtime_error where every block is in use.
    loopback_block();
    ~loopback_block();
    loopback_block(const loopback_block&) = delete;
    loopback_block(loopback_block&&) = delete;
    loopback_block& operator=(const loopback_block&) = delete;
    loopback_block& operator=(loopback_block&&) = delete;

    /// Returns the address `number` of the block. Precondition: `number` is 1 to 253.
    [[nodiscard]] std::string host(int number) const;

private:
    int number_ = 0;
    int fd_ = -1;
};

} // namespace hemlocknotch::standins
