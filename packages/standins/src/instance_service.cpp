#include <hemlocknotch/standins/instance_service.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <utility>

namespace hemlocknotch::standins {
namespace {

constexpr std::string_view instance_path = "/instances/";

} // namespace

instance_service::instance_service(event_loop& loop, const endpoint_address& address, duration lag)
    : server_{loop.base(), [this](const http_request& request) { on_request(request); }}, view_{lag}
{
    server_.listen(address);
}

nlohmann::json instance_service::addresses() const
{
    return {{"http", server_.address().to_string()}};
}

void instance_service::on_request(const http_request& request)
{
    const std::string path = request.path();
    if (path == "/faults") {
        on_fault_request(request);
    }
    else if (path.starts_with(instance_path)) {
        on_instance(request, path.substr(instance_path.size()));
    }
    else if (path == "/instances" && !is_out_) {
        request.reply_json(200, view_.seen_at(now()));
    }
    else {
        request.drop();
    }
}

void instance_service::on_instance(const http_request& request, const std::string& name)
{
    if (request.method() == "DELETE") {
        view_.remove(name, now());
        request.reply(204, "");
        return;
    }
    nlohmann::json instance = nlohmann::json::parse(request.body(), nullptr, false);
    if (request.method() != "PUT" || !instance.is_object()) {
        request.reply_json(400, {{"error", "PUT a JSON object, or DELETE"}});
        return;
    }
    view_.put(name, std::move(instance), now());
    request.reply(200, "");
}

void instance_service::on_fault_request(const http_request& request)
{
    if (request.method() == "PUT") {
        const nlohmann::json document = nlohmann::json::parse(request.body(), nullptr, false);
        if (!document.is_object()) {
            request.reply_json(400, {{"error", "needs a JSON object"}});
            return;
        }
        is_out_ = document.value("out", is_out_);
    }
    request.reply_json(200, {{"out", is_out_}});
}

} // namespace hemlocknotch::standins
