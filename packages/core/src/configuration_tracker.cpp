#include <hemlocknotch/core/configuration_tracker.hpp>

#include <algorithm>
#include <cassert>

namespace hemlocknotch {

std::vector<send_effect> configuration_tracker::request_if_ahead(link_id link, peer_state& peer)
{
    if (peer.revision <= revision() || peer.requested >= peer.revision) {
        return {};
    }
    const auto open_requests = std::count_if(
        peers_.begin(), peers_.end(), [&](const auto& it) { return it.second.requested >= peer.revision; });
    if (static_cast<std::size_t>(open_requests) >= max_open_requests) {
        return {};
    }
    peer.requested = peer.revision;
    return {send_effect{link, configuration_request_message{}}};
}

std::vector<send_effect> configuration_tracker::add_link(link_id link, std::uint64_t revision)
{
    peer_state& peer = peers_[link];
    peer = peer_state{revision, 0};
    if (this->revision() > revision) {
        // The peer may know an older revision of this process than the current one, because the hello was
        // sent earlier.
        return {send_effect{link, revision_message{this->revision()}}};
    }
    return request_if_ahead(link, peer);
}

std::vector<send_effect> configuration_tracker::remove_link(link_id link)
{
    const auto it = peers_.find(link);
    if (it == peers_.end()) {
        return {};
    }
    const bool is_document_pending = it->second.requested > revision();
    peers_.erase(it);
    if (!is_document_pending) {
        return {};
    }
    for (auto& [other, peer] : peers_) {
        std::vector<send_effect> effects = request_if_ahead(other, peer);
        if (!effects.empty()) {
            return effects;
        }
    }
    return {};
}

std::vector<send_effect> configuration_tracker::on_revision(link_id link, std::uint64_t revision)
{
    const auto it = peers_.find(link);
    if (it == peers_.end()) {
        return {};
    }
    it->second.revision = std::max(it->second.revision, revision);
    return request_if_ahead(link, it->second);
}

std::vector<send_effect> configuration_tracker::on_request(link_id link) const
{
    if (!current_) {
        return {};
    }
    return {send_effect{link, configuration_message{current_->revision, current_->document}}};
}

std::optional<read_configuration_effect>
configuration_tracker::on_document(const configuration_message& value) const
{
    if (value.revision <= revision()) {
        return std::nullopt;
    }
    return read_configuration_effect{value.revision, value.document};
}

std::vector<send_effect> configuration_tracker::accept(const configuration_ptr& value)
{
    assert(value);
    if (value->revision <= revision()) {
        return {};
    }
    current_ = value;
    std::vector<send_effect> effects;
    for (const auto& [link, peer] : peers_) {
        if (peer.revision < value->revision) {
            effects.push_back({link, revision_message{value->revision}});
        }
    }
    return effects;
}

} // namespace hemlocknotch
