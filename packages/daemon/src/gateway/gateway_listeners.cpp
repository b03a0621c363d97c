#include "gateway_shell.hpp"

#include <boost/leaf/error.hpp>

#include <array>
#include <functional>
#include <optional>
#include <string_view>

/// Where a gateway listens besides for callers.
namespace hemlocknotch::daemon {

boost::leaf::result<void> gateway_shell::listen()
{
    const auto listen_pages = [](page_server& server, const std::optional<endpoint_address>& address,
                                 std::string_view purpose) -> boost::leaf::result<void> {
        if (!address) {
            return {};
        }
        if (auto it = server.listen(*address, purpose); !it) {
            return it.error();
        }
        return {};
    };
    const std::array<std::function<boost::leaf::result<void>()>, 4> listeners{
        [&] { return listen_pages(readiness_server_, settings_.readiness, "readiness"); },
        [&] { return listen_pages(metrics_server_, settings_.metrics, "metrics"); },
        [&] { return listen_pages(registry_server_, settings_.registry, "other gateways"); },
        [&]() -> boost::leaf::result<void> {
            return settings_.members ? reports_.listen(*settings_.members) : boost::leaf::result<void>{};
        }};
    for (; listener_count_ < listeners.size(); ++listener_count_) {
        if (auto it = listeners.at(listener_count_)(); !it) {
            return it.error();
        }
    }
    return {};
}

} // namespace hemlocknotch::daemon
