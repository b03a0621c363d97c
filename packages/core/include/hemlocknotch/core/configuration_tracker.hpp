#pragma once

#include <hemlocknotch/core/configuration.hpp>
#include <hemlocknotch/core/entry_effect.hpp>
#include <hemlocknotch/core/link_id.hpp>
#include <hemlocknotch/core/message.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace hemlocknotch {

/// Holds the configuration that a process uses and propagates it over links: each end announces its revision,
/// and the end with the older one requests the document. Part of both reducers. The revision never decreases.
/// Not thread-safe.
class configuration_tracker {
public:
    /// Returns the configuration in force, or null before the first.
    [[nodiscard]] const configuration_ptr& current() const { return current_; }

    /// Returns the revision in force, 0 before the first.
    [[nodiscard]] std::uint64_t revision() const { return current_ ? current_->revision : 0; }

    /// Registers a link whose peer announced `revision` in its hello. Returns the messages to send.
    std::vector<send_effect> add_link(link_id link, std::uint64_t revision);

    /// Removes a link. Returns a request to another peer if a document was still expected on the removed
    /// link.
    std::vector<send_effect> remove_link(link_id link);

    /// Handles a peer's `revision_message`. Returns a request to that peer if it has a newer revision and
    /// fewer than `max_open_requests` links have been asked for that revision: one document is enough, and a
    /// second request covers the case that the first peer has stopped responding.
    std::vector<send_effect> on_revision(link_id link, std::uint64_t revision);

    /// Handles a peer's request. Returns the document, or nothing where there is none yet.
    std::vector<send_effect> on_request(link_id link) const;

    /// Handles a document from a peer. Returns the effect that reads it, or nothing if it is not newer.
    [[nodiscard]] std::optional<read_configuration_effect>
    on_document(const configuration_message& value) const;

    /// Handles a configuration that passed validation. If it is newer, puts it in force and returns
    /// announcements to all links whose peers are not known to have it. Otherwise returns nothing and changes
    /// nothing. Precondition: `value` is not null.
    std::vector<send_effect> accept(const configuration_ptr& value);

    /// Number of links that may be asked for the same revision at the same time.
    static constexpr std::size_t max_open_requests = 2;

private:
    struct peer_state {
        std::uint64_t revision = 0;
        /// Revision requested on this link; 0 if none.
        std::uint64_t requested = 0;
    };

    std::vector<send_effect> request_if_ahead(link_id link, peer_state& peer);

    configuration_ptr current_;
    std::map<link_id, peer_state> peers_;
};

} // namespace hemlocknotch
