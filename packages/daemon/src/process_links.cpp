#include "process_links.hpp"

#include <algorithm>
#include <cassert>
#include <utility>
#include <variant>

namespace hemlocknotch::daemon {
namespace {

void add(link_traffic& sum, const link_traffic& it)
{
    sum.sent_bytes += it.sent_bytes;
    sum.received_bytes += it.received_bytes;
    sum.sent_body_bytes += it.sent_body_bytes;
    sum.received_body_bytes += it.received_body_bytes;
}

double to_double(std::uint64_t value)
{
    return static_cast<double>(value);
}

} // namespace

process_links::process_links(event_base* base, link_factory& factory, metrics& process_metrics,
                             link_sink& sink)
    : factory_{factory},
      metrics_{process_metrics},
      sink_{sink},
      clean_up_{base, [this] { closed_.clear(); }},
      kinds_(std::variant_size_v<message>),
      kind_names_(std::variant_size_v<message>)
{
}

void process_links::open(link_id number, const endpoint_address& address)
{
    assert(!links_.contains(number));
    add_link(number, {factory_.connect(address), false, address, 0});
}

void process_links::adopt(std::shared_ptr<peer_link> accepted)
{
    assert(accepted);
    add_link(++last_accepted_, {std::move(accepted), false, std::nullopt, 0});
}

void process_links::add_link(link_id number, link_state it)
{
    auto& connection = *it.connection;
    links_.emplace(number, std::move(it));
    connection.opened.connect([this, number] { handle_open(number); });
    connection.received.connect([this, number](const message& content) { handle_message(number, content); });
    connection.closed.connect([this, number](const std::string& reason) { handle_closed(number, reason); });
}

void process_links::send(link_id number, const message& content)
{
    const auto it = links_.find(number);
    if (it == links_.end() || !it->second.is_open) {
        return;
    }
    auto& connection = *it->second.connection;
    const auto before = connection.traffic().sent_bytes;
    const auto kind = content.index();
    auto& count = kinds_[kind];
    kind_names_[kind] = kind_of(content);
    ++count.sent;
    connection.send(content);
    count.sent_bytes += connection.traffic().sent_bytes - before;
}

void process_links::close(link_id number, std::string_view reason)
{
    const auto it = links_.find(number);
    if (it != links_.end()) {
        it->second.connection->close(reason);
    }
}

const endpoint_address& process_links::address_of(link_id number) const
{
    const auto it = links_.find(number);
    assert(it != links_.end() && it->second.address);
    return *it->second.address;
}

bool process_links::has_unsent_bytes() const
{
    return std::ranges::any_of(links_,
                               [](const auto& it) { return it.second.connection->queued_bytes() > 0; });
}

void process_links::handle_open(link_id number)
{
    const auto it = links_.find(number);
    assert(it != links_.end());
    it->second.is_open = true;
    sink_.on_link_open(number);
}

void process_links::handle_message(link_id number, const message& content)
{
    const auto it = links_.find(number);
    if (it == links_.end()) {
        return;
    }
    const auto received = it->second.connection->traffic().received_bytes;
    const auto kind = content.index();
    auto& count = kinds_[kind];
    kind_names_[kind] = kind_of(content);
    ++count.received;
    // The bytes of all messages that arrived in one read are counted for the kind of the first.
    count.received_bytes += received - it->second.counted_received_bytes;
    it->second.counted_received_bytes = received;
    sink_.on_link_message(number, content);
}

void process_links::handle_closed(link_id number, const std::string& reason)
{
    const auto it = links_.find(number);
    if (it == links_.end()) {
        return;
    }
    add(closed_traffic_, it->second.connection->traffic());
    const auto was_reported = it->second.is_open || it->second.address.has_value();
    closed_.push_back(std::move(it->second.connection));
    links_.erase(it);
    clean_up_.activate();
    if (was_reported) {
        sink_.on_link_closed(number, reason);
    }
}

link_traffic process_links::total_traffic() const
{
    auto sum = closed_traffic_;
    for (const auto& [number, it] : links_) {
        add(sum, it.connection->traffic());
    }
    return sum;
}

void process_links::update_metrics()
{
    const auto sum = total_traffic();
    metrics_.set("hemlocknotch_links", to_double(links_.size()));
    metrics_.set_total("hemlocknotch_control_sent_bytes_total",
                       to_double(sum.sent_bytes - sum.sent_body_bytes));
    metrics_.set_total("hemlocknotch_control_received_bytes_total",
                       to_double(sum.received_bytes - sum.received_body_bytes));
    metrics_.set_total("hemlocknotch_link_body_sent_bytes_total", to_double(sum.sent_body_bytes));
    metrics_.set_total("hemlocknotch_link_body_received_bytes_total", to_double(sum.received_body_bytes));
    for (std::size_t n = 0; n < kinds_.size(); ++n) {
        if (kind_names_[n].empty()) {
            continue;
        }
        const auto& count = kinds_[n];
        const auto name = kind_names_[n];
        metrics_.set_total("hemlocknotch_messages_sent_total", "kind", name, to_double(count.sent));
        metrics_.set_total("hemlocknotch_messages_received_total", "kind", name, to_double(count.received));
        metrics_.set_total("hemlocknotch_message_sent_bytes_total", "kind", name,
                           to_double(count.sent_bytes));
        metrics_.set_total("hemlocknotch_message_received_bytes_total", "kind", name,
                           to_double(count.received_bytes));
    }
}

} // namespace hemlocknotch::daemon
