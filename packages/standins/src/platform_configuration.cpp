#include <hemlocknotch/standins/platform_configuration.hpp>

#include <nlohmann/json.hpp>

#include <utility>

namespace hemlocknotch::standins {
namespace {

using nlohmann::json;

json create_route(const std::string& prefix, const char* kind, const char* service, bool is_resumable,
                  std::chrono::milliseconds timeout)
{
    return {{"name", prefix},
            {"hostname", "h"},
            {"prefix", prefix},
            {"route-type", kind},
            {"timeout-ms", timeout.count()},
            {"priority", 1},
            {"backend", service},
            {"max-attempts", 2},
            {"target-latency-ms", 500},
            {"anonymous", false},
            {"stream-resume", is_resumable}};
}

} // namespace

std::string create_platform_configuration(std::uint64_t version, bool has_second_key, int further_routes,
                                          std::chrono::milliseconds timeout)
{
    auto routes = json::array({create_route("/stream/", "streaming", "model", true, timeout),
                               create_route("/unsafe/", "unsafe", "plain", false, timeout),
                               create_route("/safe/", "safe", "plain", false, timeout)});
    for (int n = 0; n < further_routes; ++n) {
        routes.push_back(
            create_route("/further-" + std::to_string(n) + "/", "safe", "plain", false, timeout));
    }
    auto keys = json::array({"key-1"});
    if (has_second_key) {
        keys.push_back("key-2");
    }
    return json{{"version", version},
                {"routes", std::move(routes)},
                {"backends",
                 {{{"name", "model"}, {"max-connections", 100}, {"engine", {{"slots", 8}}}},
                  {{"name", "plain"}, {"max-connections", 100}}}},
                {"limits", {{"max-header-bytes", 16384}, {"max-body-bytes", 100000}}},
                {"tenants", {{{"name", "acme"}, {"api-keys", keys}}}}}
        .dump();
}

} // namespace hemlocknotch::standins
