#include <hemlocknotch/standins/instance_view.hpp>

#include <utility>

namespace hemlocknotch::standins {

void instance_view::put(const std::string& name, nlohmann::json instance, instant at)
{
    instance["name"] = name;
    pending_.push_back({at, name, std::move(instance)});
}

void instance_view::remove(const std::string& name, instant at)
{
    pending_.push_back({at, name, nullptr});
}

nlohmann::json instance_view::seen_at(instant at)
{
    while (!pending_.empty() && pending_.front().at + lag_ <= at) {
        change next = std::move(pending_.front());
        pending_.pop_front();
        if (next.instance.is_null()) {
            visible_.erase(next.name);
        }
        else {
            visible_[next.name] = std::move(next.instance);
        }
    }
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [name, instance] : visible_) {
        list.push_back(instance);
    }
    return {{"instances", list}};
}

} // namespace hemlocknotch::standins
