#pragma once

#include <hemlocknotch/gateway/request_signature.hpp>

namespace hemlocknotch::gateway {

/// Record that the requests with a signature are rejected, because they crash endpoints.
struct signature_block {
    request_signature signature;
    /// Number of the block of this signature, from 1.
    unsigned block = 0;
};

} // namespace hemlocknotch::gateway
