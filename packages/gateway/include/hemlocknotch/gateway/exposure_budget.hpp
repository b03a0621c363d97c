#pragma once

#include <cstdint>

namespace hemlocknotch::gateway {

/// Keeps the requests that this gateway sends to a new version below a share of all that it sends to the
/// service. The sum over any gateways keeps the same share, however many there are and whichever of them
/// start again, so that none has to know the others' counts. Used by one thread at a time.
class exposure_budget {
public:
    /// Precondition: `share` is between 0 and 1.
    explicit exposure_budget(double share) : share_{share} {}

    /// Records a request that is sent to the service.
    void note_sent(bool is_exposed)
    {
        ++requests_;
        exposed_ += is_exposed ? 1U : 0U;
    }

    /// Returns whether the next request may go to the new version.
    [[nodiscard]] bool may_expose() const
    {
        return static_cast<double>(exposed_ + 1) <= share_ * static_cast<double>(requests_ + 1);
    }

    [[nodiscard]] std::uint64_t requests() const { return requests_; }

    [[nodiscard]] std::uint64_t exposed() const { return exposed_; }

private:
    double share_;
    std::uint64_t requests_ = 0;
    std::uint64_t exposed_ = 0;
};

} // namespace hemlocknotch::gateway
