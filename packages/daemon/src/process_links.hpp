#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/link_id.hpp>
#include <hemlocknotch/core/message.hpp>
#include <hemlocknotch/wire/link_factory.hpp>
#include <hemlocknotch/wire/peer_link.hpp>

#include "metrics.hpp"
#include "timer.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlocknotch::daemon {

/// Receiver of links' events. Called on the event loop's thread, possibly from within a call to
/// `process_links`.
class link_sink {
public:
    virtual ~link_sink() = default;

    /// The link is open: messages can be sent.
    virtual void on_link_open(link_id link) = 0;

    /// A message has arrived.
    virtual void on_link_message(link_id link, const message& content) = 0;

    /// The link has ended, or could not be opened.
    virtual void on_link_closed(link_id link, const std::string& reason) = 0;
};

/// The links of one process by number, and the metrics of their traffic. Used by the event loop's thread
/// only.
class process_links {
public:
    /// All references must outlive the object.
    process_links(event_base* base, link_factory& factory, metrics& process_metrics, link_sink& sink);

    /// Opens link `number` to `address`. Precondition: the number is not in use.
    void open(link_id number, const endpoint_address& address);

    /// Takes over a link that was accepted and numbers it; accepted links are counted from 1. Precondition:
    /// `accepted` is not null.
    void adopt(std::shared_ptr<peer_link> accepted);

    /// Sends on a link. Ignored unless the link is open.
    void send(link_id number, const message& content);

    /// Closes a link. Ignored if it has closed already.
    void close(link_id number, std::string_view reason);

    /// Returns the address that link `number` was opened to. Precondition: `open` was called for it and it
    /// has not closed.
    [[nodiscard]] const endpoint_address& address_of(link_id number) const;

    /// Returns the number of links, including those that are not open yet.
    [[nodiscard]] std::size_t count() const { return links_.size(); }

    /// Returns whether any link has bytes that are not yet written to its socket.
    [[nodiscard]] bool has_unsent_bytes() const;

    /// Updates the traffic metrics.
    void update_metrics();

private:
    struct link_state {
        std::shared_ptr<peer_link> connection;
        bool is_open = false;
        /// Empty for an accepted link.
        std::optional<endpoint_address> address;
        std::uint64_t counted_received_bytes = 0;
    };

    struct kind_traffic {
        std::uint64_t sent = 0;
        std::uint64_t sent_bytes = 0;
        std::uint64_t received = 0;
        std::uint64_t received_bytes = 0;
    };

    void add_link(link_id number, link_state it);
    void handle_open(link_id number);
    void handle_message(link_id number, const message& content);
    void handle_closed(link_id number, const std::string& reason);
    [[nodiscard]] link_traffic total_traffic() const;

    link_factory& factory_;
    metrics& metrics_;
    link_sink& sink_;
    link_id last_accepted_ = 0;
    std::unordered_map<link_id, link_state> links_;
    std::vector<std::shared_ptr<peer_link>> closed_;
    timer clean_up_;
    /// By index of the message's kind in the variant `message`.
    std::vector<kind_traffic> kinds_;
    std::vector<std::string_view> kind_names_;
    link_traffic closed_traffic_;
};

} // namespace hemlocknotch::daemon
