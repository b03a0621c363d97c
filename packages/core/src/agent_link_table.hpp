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

/// One link to an entry, as its agent knows it.
struct agent_link {
    link_id id = 0;
    /// Set by the entry's hello.
    std::optional<process_identity> peer;
    std::string failure_domain;
    /// A newer link of the same entry incarnation has said hello. Nothing new is taken from this one.
    bool is_superseded = false;
    /// The peer broke the protocol and the link is being closed. Nothing is taken from it.
    bool is_rejected = false;
    instant last_received;
    instant last_sent;
    std::uint64_t last_heartbeat = 0;
    /// Room that the entry may believe in.
    std::uint32_t advertised_slots = 0;
    bool is_draining_advertised = false;
};

/// The links to entries. Not safe for use by two threads at once.
class agent_link_table {
public:
    /// Adds a link that was accepted at `now`. A link known already stays as it is.
    void add(link_id link, instant now);

    /// Takes in the hello on `link`: it becomes the current link of that entry incarnation, and an older one
    /// is superseded. Precondition: `link` is known and has had no hello.
    void register_hello(link_id link, const hello_message& hello);

    /// Forgets a link. Returns what was known of it; nothing where it is not known.
    std::optional<agent_link> remove(link_id link);

    /// Returns the link, or null where it is not known. Valid until it is removed.
    [[nodiscard]] agent_link* find(link_id link);

    /// Returns the current link of the entry incarnation, or null where there is none.
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
