#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/stream_note_store.hpp>
#include <hemlocknotch/gateway/stream_origins.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace hemlocknotch::daemon {

/// Keeps notes of streams in the platform's store while more than one software version may have begun them,
/// and reads those of all gateways at the start. Used on the event loop's thread only.
class stream_note_registrar {
public:
    /// Least time between two notes with new streams. Streams begun since the last one are unknown if all
    /// gateways end, and many streams last for a second only.
    static constexpr duration note_interval = std::chrono::milliseconds{100};
    /// Time between two notes without new streams, which keep the versions known.
    static constexpr duration outline_interval = std::chrono::seconds{10};
    /// Least time for which the store keeps a note: three of those intervals.
    static constexpr duration min_time_to_live = std::chrono::seconds{30};
    static constexpr duration retry_interval = std::chrono::milliseconds{500};

    /// `store` and `origins` must outlive the registrar. `prefix` begins the names of its notes, which are
    /// unique to one start of the gateway.
    stream_note_registrar(gateway::stream_note_store& store, gateway::stream_origins& origins,
                          std::string prefix);

    /// Starts the calls that are due. To be called several times per second; `now` returns the monotonic
    /// time.
    void update(const std::function<instant()>& now);

private:
    void read(const std::function<instant()>& now);
    void write(const std::function<instant()>& now);

    gateway::stream_note_store& store_;
    gateway::stream_origins& origins_;
    std::string prefix_;
    std::uint64_t last_note_ = 0;
    bool is_read_ = false;
    bool is_calling_ = false;
    instant next_note_{};
    instant next_outline_{};
    instant next_read_{};
};

} // namespace hemlocknotch::daemon
