#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/registry_client.hpp>
#include <hemlocknotch/gateway/rollout_table.hpp>

#include <cstdint>
#include <functional>

namespace hemlocknotch::daemon {

/// Writes the records of roll-outs to the registry where this gateway is to do so. Used on the event loop's
/// thread only.
class rollout_registrar {
public:
    /// `client` and `rollouts` must outlive the registrar. `now` returns the monotonic time; `written` is
    /// called after a record has been taken.
    rollout_registrar(gateway::registry_client& client, gateway::rollout_table& rollouts,
                      std::function<instant()> now, std::function<void()> written);

    /// Starts the calls that are due. To be called several times per second.
    void update();

    /// Returns the records that were written, and the writes that failed or came after another gateway's.
    [[nodiscard]] std::uint64_t written_count() const { return written_; }

    [[nodiscard]] std::uint64_t failed_count() const { return failed_; }

private:
    gateway::registry_client& client_;
    gateway::rollout_table& rollouts_;
    std::function<instant()> now_;
    std::function<void()> on_written_;
    std::uint64_t written_ = 0;
    std::uint64_t failed_ = 0;
};

} // namespace hemlocknotch::daemon
