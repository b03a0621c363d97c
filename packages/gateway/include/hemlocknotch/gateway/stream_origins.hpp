#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/endpoint_record.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hemlocknotch::gateway {

/// What a gateway knows of one software version of a service.
struct version_report {
    std::string service;
    std::string version;
    /// Time since an endpoint of the version was last registered; zero: one is.
    duration age{};
    /// Keys of streams that the version began.
    std::vector<std::uint64_t> streams;
    /// Time since some gateway first saw an endpoint of the version.
    duration seen_for{};
};

/// What a gateway tells the others of the versions that may have begun streams.
struct stream_report {
    std::string gateway;
    /// Time for which the gateway knows all versions that were registered.
    duration known_for{};
    std::vector<version_report> versions;
};

/// Which software version began each resumable stream. A stream may go on only at that version, also where
/// its caller takes it up at another gateway.
///
/// While one version serves, and for as long before as a stream lasts, that version has begun every stream.
/// Otherwise each stream is known by a key: the gateway that passed its first event on tells the others. A
/// stream of which nobody has heard is unknown then, since its gateway may have ended.
///
/// A gateway that is cut off or stands still may take the version that it knows for the only one until its
/// registry is `max_registry_age` old. So a version that joins another one begins no streams before that.
///
/// Used by one thread at a time.
class stream_origins {
public:
    /// Least time for which streams are known: callers that state no time wait for that long.
    static constexpr duration min_lifetime = std::chrono::seconds{15};
    /// Longest time for which a stream is known, whatever its caller states; bounds memory.
    static constexpr duration max_lifetime = std::chrono::minutes{10};
    /// Age of the registry from which another version may have begun streams that is not known here.
    static constexpr duration max_registry_age = std::chrono::milliseconds{2500};
    /// Time for which a version that joins another one begins no streams. Exceeds `max_registry_age`, so that
    /// every gateway has heard of the version by then, or knows that its registry is too old.
    static constexpr duration settling_time = max_registry_age + std::chrono::milliseconds{500};
    /// Maximum number of streams that are known, and of those in one report. Those beyond are unknown.
    static constexpr std::size_t max_streams = 400'000;
    static constexpr std::size_t max_reported_streams = 3000;
    /// Number of reports that name a stream, in case some are lost.
    static constexpr unsigned repetitions = 3;

    /// Replaces the registered endpoints. Versions are known from the first call on.
    void set_endpoints(std::span<const endpoint_record> records, instant now);

    /// Records the age of the registry, which is known as of `as_of`. Versions that came and left while it
    /// was not read are not known.
    void note_registry(instant as_of, instant now);

    /// Records for how long a caller may still take up its stream.
    void note_lifetime(duration caller_timeout);

    /// Records that `version` began the stream of the caller's attempt `request`, or continues it. It is
    /// known until `ends_at`.
    void note_begun(std::string_view service, std::string_view request, std::string_view version,
                    instant ends_at, instant now);

    /// Returns the version that began the stream of the caller's attempt `request`; empty if it is not known.
    [[nodiscard]] std::optional<std::string> version_of(std::string_view service, std::string_view request,
                                                        instant now) const;

    /// Returns the versions of `service` that may not begin streams yet, since a gateway may not know them.
    [[nodiscard]] std::vector<std::string> unsettled_versions(std::string_view service, instant now) const;

    /// Returns when the next version may begin streams; `instant::max()` if none waits for that.
    [[nodiscard]] instant next_settled(instant now) const;

    /// Returns what the others have not been told yet.
    stream_report create_report(instant now);
    void apply_report(const stream_report& report, instant now);

    /// Returns whether a stream of some service may have been begun by more than one version.
    [[nodiscard]] bool is_ambiguous(instant now) const;

    /// Returns what the store has to keep in case all gateways end: the versions, and the streams that were
    /// begun here since the last note.
    stream_report create_note(instant now);
    /// Puts the streams of a note that was not written into the next one.
    void return_note(const stream_report& note);
    /// Applies all notes that are in the store. They name every version that may have begun streams beside
    /// another one.
    void apply_notes(std::span<const stream_report> notes, instant now);

    /// Returns for how long a caller may take up a stream.
    [[nodiscard]] duration lifetime() const { return lifetime_; }

    /// Names all streams in the next reports: a gateway has joined.
    void report_all();

    [[nodiscard]] std::size_t size() const { return streams_.size(); }

private:
    struct origin {
        /// Index of service and version in `names_`.
        std::uint32_t name = 0;
        unsigned reports_left = 0;
        instant ends_at{};
        /// Whether this gateway passed the stream's events on.
        bool is_own = false;
        bool is_noted = false;
    };

    /// When endpoints of a version were registered.
    struct registration_times {
        /// `instant::max()`: an endpoint is registered.
        instant last = instant::max();
        /// When some gateway first saw one.
        instant first{};
    };

    using version_times = std::map<std::string, registration_times, std::less<>>;

    [[nodiscard]] bool is_recent(const registration_times& it, instant now) const
    {
        return it.last == instant::max() || now - it.last < lifetime_;
    }

    [[nodiscard]] static bool is_settled(const registration_times& it, instant now)
    {
        return now - it.first >= settling_time;
    }

    /// Returns whether a version may have begun streams that is not known here.
    [[nodiscard]] bool is_stale(instant now) const;
    [[nodiscard]] bool is_ambiguous(std::string_view service, instant now) const;
    /// Returns the only version that may have begun a stream; empty if there may be others.
    [[nodiscard]] std::optional<std::string> sole_version(std::string_view service, instant now) const;
    /// Returns the report without streams, and the index in it of each service and version.
    [[nodiscard]] stream_report create_outline(instant now, std::vector<std::size_t>& index_by_name);
    void remove_ended(instant now);
    void add(std::uint64_t key, const origin& it);
    /// Returns the index of a service and its version in `names_`, where they are added if they are new.
    std::uint32_t name_of(std::string_view service, std::string_view version);

    std::map<std::string, version_times, std::less<>> versions_;
    /// Services and their versions, each pair once.
    std::vector<std::pair<std::string, std::string>> names_;
    std::unordered_map<std::uint64_t, origin> streams_;
    duration lifetime_ = min_lifetime;
    instant known_since_ = instant::max();
    instant registry_as_of_ = instant::max();
};

} // namespace hemlocknotch::gateway
