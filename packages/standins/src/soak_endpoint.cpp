#include <hemlocknotch/standins/soak_endpoint.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <utility>

namespace hemlocknotch::standins {
namespace {

const endpoint_address any_port = *endpoint_address::parse("127.0.0.1:0");

} // namespace

soak_endpoint::soak_endpoint(event_base* base, const std::string& instance, std::string service)
    : service_{std::move(service)}, endpoint_{base, any_port, instance}, link_{base, endpoint_.address()}
{
    set_start(1);
}

void soak_endpoint::set_start(std::uint64_t n)
{
    starts_ = n;
    endpoint_.start_name = endpoint_.instance() + "@" + std::to_string(n);
}

std::string soak_endpoint::registration() const
{
    auto out = nlohmann::json::parse(endpoint_.registration(service_, state_));
    out["address"] = link_.address().to_string();
    out["born"] = starts_;
    return out.dump();
}

void soak_endpoint::begin_leaving()
{
    endpoint_.faults.stated_leaving = "1";
}

void soak_endpoint::end()
{
    if (std::exchange(is_running_, false)) {
        endpoint_.crash();
    }
}

void soak_endpoint::restart()
{
    if (!std::exchange(is_running_, true)) {
        set_start(starts_ + 1);
        state_ = "ready";
        endpoint_.faults.stated_leaving.clear();
        endpoint_.listen(any_port);
        link_.set_target(endpoint_.address());
    }
}

} // namespace hemlocknotch::standins
