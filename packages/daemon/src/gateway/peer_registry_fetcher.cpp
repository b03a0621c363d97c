#include "peer_registry_fetcher.hpp"

#include "report_exchange.hpp"

#include <cassert>
#include <chrono>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

constexpr int status_ok = 200;
/// Tens of round trips between failure domains; a gateway that does not answer is passed over.
constexpr duration call_timeout = std::chrono::milliseconds{400};

} // namespace

peer_registry_fetcher::peer_registry_fetcher(event_base* base, const std::vector<endpoint_address>& gateways,
                                             fetched_callback fetched)
    : fetched_{std::move(fetched)}
{
    assert(fetched_);
    for (const auto& it : gateways) {
        clients_.push_back(std::make_unique<http_client>(base, it));
    }
}

void peer_registry_fetcher::fetch()
{
    if (is_asking_ || clients_.empty()) {
        return;
    }
    is_asking_ = true;
    auto& client = *clients_[next_++ % clients_.size()];
    client.send({http_method::get, std::string{registry_path}, "", ""}, call_timeout,
                [this](const http_answer& answer) {
                    is_asking_ = false;
                    if (answer.status != status_ok) {
                        return;
                    }
                    const std::vector<std::uint8_t> bytes{answer.body.begin(), answer.body.end()};
                    if (const auto news = decode_news(bytes)) {
                        fetched_(*news);
                    }
                });
}

} // namespace hemlocknotch::daemon
