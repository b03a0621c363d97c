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

/// The configuration that a process runs, and its spreading over links: each end tells its revision, and the
/// one that is behind asks for the document. Part of both reducers. The revision never falls. Not safe for
/// use by two threads at once.
class configuration_tracker {
public:
    /// Returns the configuration in force, or null before the first.
    [[nodiscard]] const configuration_ptr& current() const { return current_; }

    /// Returns the revision in force, 0 before the first.
    [[nodiscard]] std::uint64_t revision() const { return current_ ? current_->revision : 0; }

    /// Takes in a link whose peer said `revision` in its hello. Returns the messages to send.
    std::vector<send_effect> add_link(link_id link, std::uint64_t revision);

    /// Forgets a link. Returns a request to another peer where the removed link owed a document.
    std::vector<send_effect> remove_link(link_id link);

    /// Takes in a peer's `revision_message`. Returns a request to that peer if it is ahead and fewer than
    /// `max_open_requests` links have been asked for that revision: one document is enough, and a second
    /// request covers a link that has gone silent.
    std::vector<send_effect> on_revision(link_id link, std::uint64_t revision);

    /// Takes in a peer's request. Returns the document, or nothing where there is none yet.
    std::vector<send_effect> on_request(link_id link) const;

    /// Takes in a document from a peer. Returns the order to read it, or nothing where it is not newer.
    [[nodiscard]] std::optional<read_configuration_effect>
    on_document(const configuration_message& value) const;

    /// Takes in a configuration that passed its check. Where it is newer, puts it in force and returns the
    /// announcements to all links that are not known to have it. Where it is not, returns nothing and changes
    /// nothing. Precondition: `value` is not null.
    std::vector<send_effect> accept(const configuration_ptr& value);

    /// Links that are asked for the same revision at one time.
    static constexpr std::size_t max_open_requests = 2;

private:
    struct peer_state {
        std::uint64_t revision = 0;
        /// Revision that this link was asked for; 0 for none.
        std::uint64_t requested = 0;
    };

    std::vector<send_effect> request_if_ahead(link_id link, peer_state& peer);

    configuration_ptr current_;
    std::map<link_id, peer_state> peers_;
};

} // namespace hemlocknotch
