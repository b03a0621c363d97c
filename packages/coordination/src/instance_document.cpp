#include <hemlocknotch/coordination/instance_document.hpp>
#include <hemlocknotch/coordination/json_fields.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace hemlocknotch {
namespace {

using nlohmann::json;

std::optional<listed_instance> read_instance(const json& value)
{
    if (!value.is_object()) {
        return std::nullopt;
    }
    const std::string name = read_string_field(value, "name");
    const std::string role = read_string_field(value, "role");
    const std::string state = read_string_field(value, "state");
    const auto address = endpoint_address::parse(read_string_field(value, "address"));
    if (name.empty() || !address || (role != "entry" && role != "agent") ||
        (state != "live" && state != "leaving")) {
        return std::nullopt;
    }
    return listed_instance{{name, role == "entry" ? process_role::entry : process_role::agent, *address,
                            read_string_field(value, "failure_domain"), read_string_field(value, "service"),
                            state == "live" ? member_state::live : member_state::leaving},
                           endpoint_address::parse(read_string_field(value, "operators"))};
}

} // namespace

std::optional<std::vector<listed_instance>> read_instance_document(std::string_view text)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return std::nullopt;
    }
    const auto instances = document.find("instances");
    if (instances == document.end() || !instances->is_array()) {
        return std::nullopt;
    }
    std::vector<listed_instance> listed;
    for (const json& it : *instances) {
        if (auto instance = read_instance(it)) {
            listed.push_back(*instance);
        }
    }
    return listed;
}

} // namespace hemlocknotch
