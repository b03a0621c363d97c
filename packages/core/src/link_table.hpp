#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/message.hpp>

#include "entry_step.hpp"
#include "outgoing_link.hpp"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// The agents that an entry process links to and the links to them. Opens, replaces and closes links; has no
/// knowledge of requests.
class link_table {
public:
    /// Sends a message. Precondition: the link is open.
    static void send(entry_step& step, outgoing_link& link, message content);

    /// Sends the messages of effects created elsewhere; skips links that have closed in the meantime.
    void send_all(entry_step& step, std::vector<send_effect> messages);

    /// Returns the link with `id`, or null.
    [[nodiscard]] outgoing_link* find(link_id id);

    /// Returns the agent called `name`, or null.
    [[nodiscard]] agent_target* find_target(std::string_view name);

    /// Returns the link in use to the agent called `name` if the agent's hello has been received; else null.
    [[nodiscard]] outgoing_link* usable_link_to(std::string_view name);

    /// Sets the agents to link to. Opens a new link to an agent whose address has changed.
    void choose(entry_step& step, std::span<const member> chosen);

    /// Opens a link to `target`, beside the one in use if there is one.
    void open(entry_step& step, agent_target& target);

    /// Asks the shell to close a link and stops using it.
    static void close(entry_step& step, outgoing_link& link, std::string reason);

    /// Removes a link that has closed.
    void remove(link_id id);

    /// Makes `link` the one in use for its target. Returns the previous one, or null.
    outgoing_link* put_in_use(outgoing_link& link);

    /// Removes a target that has no link.
    void drop_target(std::string_view name);

    [[nodiscard]] std::map<link_id, outgoing_link>& links() { return links_; }

    [[nodiscard]] const std::map<link_id, outgoing_link>& links() const { return links_; }

    [[nodiscard]] std::map<std::string, agent_target, std::less<>>& targets() { return targets_; }

    [[nodiscard]] const std::map<std::string, agent_target, std::less<>>& targets() const { return targets_; }

private:
    std::map<link_id, outgoing_link> links_;
    std::map<std::string, agent_target, std::less<>> targets_;
    link_id last_link_ = 0;
};

} // namespace hemlocknotch
