#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>

#include <sys/socket.h>

namespace hemlocknotch::detail {

/// An address in the form that the system's socket functions use. Immutable value.
class socket_address {
public:
    /// Converts `address`. Never fails, since the address is numeric.
    static socket_address of(const endpoint_address& address);

    /// Returns the local address of a bound socket. Precondition: `socket` is an IP socket.
    static endpoint_address bound_to(int socket);

    /// Returns an address that a system call has written. Precondition: `storage` is an IP address.
    static endpoint_address decode(const sockaddr_storage& storage);

    /// Returns the address for system calls that read it.
    [[nodiscard]] const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage_); }

    /// Returns the length of the address at `get`, in bytes.
    [[nodiscard]] int length() const { return length_; }

private:
    socket_address() = default;

    sockaddr_storage storage_{};
    int length_ = 0;
};

} // namespace hemlocknotch::detail
