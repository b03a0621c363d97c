#pragma once

#include <hemlocknotch/core/link_id.hpp>
#include <hemlocknotch/core/message.hpp>
#include <hemlocknotch/core/process_identity.hpp>
#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace hemlocknotch {

/// One link to an entry process, as seen by its agent.
struct agent_link {
    link_id id = 0;
    /// Set by the entry's hello.
    std::optional<process_identity> peer;
    std::string failure_domain;
    /// A newer link of the same entry incarnation has sent its hello. No new requests are accepted on this
    /// one.
    bool is_superseded = false;
    /// The peer violated the protocol and the link is being closed. Further messages on it are ignored.
    bool is_rejected = false;
    instant last_received;
    instant last_sent;
    std::uint64_t last_heartbeat = 0;
    /// Free slots last advertised to the entry, less the requests that it has sent without a grant since.
    std::uint32_t advertised_slots = 0;
    bool is_draining_advertised = false;
};

/// The links to entries. Not safe for use by two threads at once.
class agent_link_table {
public:
    /// Adds a link that was accepted at `now`. A link that is in the table already stays unchanged.
    void add(link_id link, instant now);

    /// Records the hello received on `link`. `link` becomes the current link of that entry incarnation and
    /// supersedes an older one. Precondition: `link` is in the table and has had no hello.
    void register_hello(link_id link, const hello_message& hello);

    /// Removes and returns a link; returns nothing if it is not in the table.
    std::optional<agent_link> remove(link_id link);

    /// Returns the link, or null if it is not in the table. Valid until it is removed.
    [[nodiscard]] agent_link* find(link_id link);

    /// Returns the current link of the entry incarnation, or null if there is none.
    [[nodiscard]] agent_link* current_of(std::uint64_t incarnation);

    /// Returns the links by id.
    [[nodiscard]] std::map<link_id, agent_link>& all() { return links_; }

    /// Returns the links by id.
    [[nodiscard]] const std::map<link_id, agent_link>& all() const { return links_; }

    /// Returns the entry incarnations that have a link.
    [[nodiscard]] std::set<std::uint64_t> incarnations() const;

private:
    std::map<link_id, agent_link> links_;
    std::map<std::uint64_t, link_id> current_;
};

} // namespace hemlocknotch
