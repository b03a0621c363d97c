#include <hemlocknotch/standins/relay_route.hpp>

#include <event2/util.h>

#include <utility>

namespace hemlocknotch::standins {
namespace {

const endpoint_address any_loopback_port = *endpoint_address::parse("127.0.0.1:0");

} // namespace

std::optional<relay_mode> parse_relay_mode(std::string_view text)
{
    if (text == "pass") {
        return relay_mode::pass;
    }
    if (text == "cut") {
        return relay_mode::cut;
    }
    if (text == "refuse") {
        return relay_mode::refuse;
    }
    if (text == "silent") {
        return relay_mode::silent;
    }
    if (text == "one-way") {
        return relay_mode::one_way;
    }
    return std::nullopt;
}

relay_route::relay_route(event_base* base, endpoint_address target)
    : base_{base}, target_{std::move(target)}, listener_{base, any_loopback_port, [this](int fd) {
                                                             accept(fd);
                                                         }}
{
}

void relay_route::set_target(endpoint_address target)
{
    target_ = std::move(target);
}

void relay_route::set_mode(relay_mode mode)
{
    mode_ = mode;
    if (mode == relay_mode::cut) {
        connections_.clear();
        return;
    }
    for (const open_connection& it : connections_) {
        apply_mode(it);
    }
}

void relay_route::apply_mode(const open_connection& it) const
{
    if (mode_ == relay_mode::one_way && !it.is_silenced) {
        it.connection->set_one_way();
    }
    else {
        it.connection->set_silent(mode_ == relay_mode::silent || it.is_silenced);
    }
}

void relay_route::silence_open()
{
    for (open_connection& it : connections_) {
        it.is_silenced = true;
        it.connection->set_silent(true);
    }
}

void relay_route::reset_open(const std::function<bool()>& is_chosen)
{
    connections_.remove_if([&](const open_connection& it) {
        if (!is_chosen()) {
            return false;
        }
        it.connection->reset_when_destroyed();
        return true;
    });
}

void relay_route::accept(int fd)
{
    if (mode_ == relay_mode::cut || mode_ == relay_mode::refuse) {
        evutil_closesocket(fd);
        return;
    }
    connections_.emplace_back();
    const auto it = std::prev(connections_.end());
    it->connection =
        std::make_unique<relay_connection>(base_, fd, target_, [this, it] { connections_.erase(it); });
    apply_mode(*it);
}

} // namespace hemlocknotch::standins
