#include "peer_registry_fetcher.hpp"

#include "report_exchange.hpp"

#include <cassert>
#include <chrono>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

constexpr int status_ok = 200;
/// Tens of round trips between failure domains. The next fetch skips a gateway that does not answer in time.
constexpr duration call_timeout = std::chrono::milliseconds{400};

} // namespace

peer_registry_fetcher::peer_registry_fetcher(event_base* base, const std::vector<endpoint_address>& gateways,
                                             fetched_callback fetched)
    : base_{base}, fetched_{std::move(fetched)}
{
    assert(fetched_);
    for (const auto& it : gateways) {
        clients_.push_back(std::make_unique<http_client>(base, it));
    }
}

void peer_registry_fetcher::set_latest(const endpoint_address& address)
{
    has_latest_failed_ = false;
    // A client with a call in progress is kept, since its callback ends the fetch.
    if (latest_ == address || is_fetching_) {
        return;
    }
    latest_ = address;
    latest_client_ = std::make_unique<http_client>(base_, address);
}

http_client& peer_registry_fetcher::next_client()
{
    if (latest_client_ && !has_latest_failed_) {
        return *latest_client_;
    }
    const auto n = next_client_++ % (clients_.size() + (latest_client_ ? 1 : 0));
    return n < clients_.size() ? *clients_[n] : *latest_client_;
}

void peer_registry_fetcher::fetch(std::uint64_t after)
{
    if (is_fetching_ || (clients_.empty() && !latest_client_)) {
        return;
    }
    is_fetching_ = true;
    auto& client = next_client();
    const auto target =
        std::string{registry_path} + "?" + std::string{registry_after_query} + std::to_string(after);
    client.send({http_method::get, target, "", ""}, call_timeout,
                [this, is_latest = &client == latest_client_.get()](const http_answer& answer) {
                    is_fetching_ = false;
                    if (answer.status != status_ok) {
                        has_latest_failed_ = has_latest_failed_ || is_latest;
                        return;
                    }
                    const std::vector<std::uint8_t> bytes{answer.body.begin(), answer.body.end()};
                    if (const auto update = decode_update(bytes)) {
                        fetched_(*update);
                    }
                });
}

} // namespace hemlocknotch::daemon
