#include <hemlocknotch/coordination/json_fields.hpp>

#include <cassert>

namespace hemlocknotch {

std::string read_string_field(const nlohmann::json& value, const char* name)
{
    assert(value.is_object());
    const auto it = value.find(name);
    return it != value.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

std::uint64_t read_count_field(const nlohmann::json& value, const char* name)
{
    assert(value.is_object());
    const auto it = value.find(name);
    return it != value.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

bool read_flag_field(const nlohmann::json& value, const char* name)
{
    assert(value.is_object());
    const auto it = value.find(name);
    return it != value.end() && it->is_boolean() && it->get<bool>();
}

} // namespace hemlocknotch
