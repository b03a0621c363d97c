#include "peer_registry_fetcher.hpp"

#include "report_exchange.hpp"

#include <cassert>
#include <charconv>
#include <chrono>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

constexpr int status_ok = 200;
/// Tens of round trips between failure domains. The next fetch skips a gateway that does not answer in time.
constexpr duration call_timeout = std::chrono::milliseconds{400};
constexpr std::string_view revision_parameter = "after=";
constexpr std::string_view era_parameter = "era=";
constexpr std::string_view configuration_parameter = "configuration=";

/// Returns the value of the parameter `name` of a query; 0 where it is missing or no number.
std::uint64_t number_in(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = query.find('&');
        if (query.starts_with(name)) {
            const auto text =
                query.substr(name.size(), end == std::string_view::npos ? end : end - name.size());
            std::uint64_t out = 0;
            const auto [stop, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
            return ec == std::errc{} && stop == text.data() + text.size() ? out : 0;
        }
        query = end == std::string_view::npos ? std::string_view{} : query.substr(end + 1);
    }
    return 0;
}

} // namespace

std::string registry_query::to_string() const
{
    std::string out{revision_parameter};
    out += std::to_string(position.revision) + "&";
    out += era_parameter;
    out += std::to_string(position.era) + "&";
    out += configuration_parameter;
    return out + std::to_string(configuration_version);
}

registry_query registry_query::parse(std::string_view text)
{
    return {
        .position = {.era = number_in(text, era_parameter), .revision = number_in(text, revision_parameter)},
        .configuration_version = number_in(text, configuration_parameter)};
}

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

void peer_registry_fetcher::fetch(const registry_query& known)
{
    if (is_fetching_ || (clients_.empty() && !latest_client_)) {
        return;
    }
    is_fetching_ = true;
    auto& client = next_client();
    const auto target = std::string{registry_path} + "?" + known.to_string();
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
