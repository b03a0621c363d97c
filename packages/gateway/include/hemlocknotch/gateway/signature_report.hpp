#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/request_signature.hpp>

#include <string>
#include <vector>

namespace hemlocknotch::gateway {

/// What one gateway knows against the requests with a signature.
struct signature_report {
    request_signature signature;
    /// Endpoints that the gateway saw end while they worked on such a request.
    std::vector<std::string> endpoints;
    /// Number of the last block, from 1; 0: none.
    unsigned block = 0;
    /// Remaining time of that block.
    duration blocked_for{};
    /// Whether such a request is being tried.
    bool has_trial = false;
};

/// What one gateway reports of signatures.
struct signature_reports {
    std::vector<signature_report> known;
    /// Signatures that were suspected and are sound.
    std::vector<request_signature> sound;
};

} // namespace hemlocknotch::gateway
