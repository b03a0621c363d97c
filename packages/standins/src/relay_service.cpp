#include <hemlocknotch/standins/relay_service.hpp>

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <string_view>

namespace hemlocknotch::standins {
namespace {

constexpr std::string_view routes_path = "/routes/";

endpoint_address target_in(const nlohmann::json& document)
{
    const auto target = endpoint_address::parse(document.at("to").get<std::string>());
    if (!target) {
        throw std::runtime_error{"'to' is no address; give one such as 127.0.0.1:41001"};
    }
    return *target;
}

} // namespace

relay_service::relay_service(event_loop& loop, const endpoint_address& address)
    : loop_{loop}, server_{loop.base(), [this](const http_request& request) { on_request(request); }}
{
    server_.listen(address);
}

nlohmann::json relay_service::addresses() const
{
    return {{"http", server_.address().to_string()}};
}

void relay_service::on_request(const http_request& request)
{
    const std::string path = request.path();
    if (!path.starts_with(routes_path) || request.method() != "PUT") {
        request.reply_json(404, {{"error", "PUT /routes/NAME"}});
        return;
    }
    const std::string name = path.substr(routes_path.size());
    try {
        change_route(name, nlohmann::json::parse(request.body()));
    }
    catch (const std::exception& error) {
        request.reply_json(400, {{"error", error.what()}});
        return;
    }
    const relay_route& route = *routes_.at(name);
    request.reply_json(200,
                       {{"address", route.address().to_string()}, {"connections", route.connection_count()}});
}

void relay_service::change_route(const std::string& name, const nlohmann::json& document)
{
    if (!routes_.contains(name)) {
        routes_[name] = std::make_unique<relay_route>(loop_.base(), target_in(document));
    }
    relay_route& route = *routes_.at(name);
    if (document.contains("to")) {
        route.set_target(target_in(document));
    }
    if (!document.contains("mode")) {
        return;
    }
    const auto text = document.at("mode").get<std::string>();
    const auto mode = parse_relay_mode(text);
    if (text == "silence-open") {
        route.silence_open();
    }
    else if (mode) {
        route.set_mode(*mode);
    }
    else {
        throw std::runtime_error{"unknown mode '" + text +
                                 "'; known: pass, cut, refuse, silent, one-way, silence-open"};
    }
}

} // namespace hemlocknotch::standins
