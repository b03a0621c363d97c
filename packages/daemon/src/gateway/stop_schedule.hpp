#pragma once

#include <hemlocknotch/core/time.hpp>

#include <algorithm>
#include <chrono>

namespace hemlocknotch::daemon {

/// Times of a planned stop, each counted from the request to stop. Thread-safe.
class stop_schedule {
public:
    /// `grace` is the time after which the process is ended by force. Precondition: it is positive.
    explicit stop_schedule(duration grace) : grace_{grace} {}

    /// Returns until when connections are taken and requests are begun as before. It covers the time within
    /// which the load balancer notices that this instance is not ready.
    [[nodiscard]] duration end_of_intake() const { return std::min(balancer_delay, grace_ / 2); }

    /// Returns when requests that are still open get their final answers.
    [[nodiscard]] duration end_of_requests() const { return grace_ - std::min(answer_margin, grace_ / 8); }

    /// Returns when the process ends, whether callers have taken their answers or not.
    [[nodiscard]] duration end_of_process() const { return grace_ - std::min(exit_margin, grace_ / 16); }

private:
    /// The balancer checks once a second and removes an instance after two failed checks.
    static constexpr duration balancer_delay = std::chrono::milliseconds{2600};
    /// Left for the last answers and for leaving the registry. Less than the last sixth of the grace, up to
    /// which callers expect an answer to be worked on.
    static constexpr duration answer_margin = std::chrono::milliseconds{700};
    static constexpr duration exit_margin = std::chrono::milliseconds{300};

    duration grace_;
};

} // namespace hemlocknotch::daemon
