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

/// Receiver of what happens on links. Called on the event loop's thread, possibly from within a call to the
/// table.
class link_sink {
public:
    virtual ~link_sink() = default;

    /// Messages can be sent on the link.
    virtual void on_link_open(link_id link) = 0;

    /// A message has come.
    virtual void on_link_message(link_id link, const message& content) = 0;

    /// The link has ended, or could not be opened.
    virtual void on_link_closed(link_id link, const std::string& reason) = 0;
};

/// The links of one process by number, and the count of their traffic. Used by the event loop's thread only.
class process_links {
public:
    /// All references must outlive the table.
    process_links(event_base* base, link_factory& factory, metrics& counts, link_sink& sink);

    /// Opens link `number` to `address`. Precondition: the number is not in use.
    void open(link_id number, const endpoint_address& address);

    /// Takes over a link that was accepted, under a number that the table chooses. Precondition: not null.
    void adopt(std::shared_ptr<peer_link> accepted);

    /// Sends on a link; ignored where it has closed.
    void send(link_id number, const message& content);

    /// Closes a link; ignored where it has closed.
    void close(link_id number, std::string_view reason);

    /// Returns the address that link `number` was opened to. Precondition: `open` was called for it.
    [[nodiscard]] const endpoint_address& address_of(link_id number) const;

    /// Returns the number of links, those included that are being opened.
    [[nodiscard]] std::size_t count() const { return links_.size(); }

    /// Returns whether any link has bytes that the system has not yet taken.
    [[nodiscard]] bool has_unsent_bytes() const;

    /// Brings the traffic's counters up to date.
    void update_metrics();

private:
    struct entry {
        std::shared_ptr<peer_link> connection;
        bool is_open = false;
        /// Nothing for an accepted link.
        std::optional<endpoint_address> address;
        std::uint64_t seen_received_bytes = 0;
    };

    struct kind_count {
        std::uint64_t sent = 0;
        std::uint64_t sent_bytes = 0;
        std::uint64_t received = 0;
        std::uint64_t received_bytes = 0;
    };

    void watch(link_id number, entry it);
    void handle_open(link_id number);
    void handle_message(link_id number, const message& content);
    void handle_closed(link_id number, const std::string& reason);
    [[nodiscard]] link_traffic total_traffic() const;

    link_factory& factory_;
    metrics& metrics_;
    link_sink& sink_;
    link_id last_accepted_ = 0;
    std::unordered_map<link_id, entry> links_;
    std::vector<std::shared_ptr<peer_link>> closed_;
    timer clean_up_;
    /// By position of the kind in `message`.
    std::vector<kind_count> kinds_;
    std::vector<std::string_view> kind_names_;
    link_traffic closed_traffic_;
};

} // namespace hemlocknotch::daemon
