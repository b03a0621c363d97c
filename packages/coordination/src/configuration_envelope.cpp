#include <hemlocknotch/coordination/configuration_envelope.hpp>
#include <hemlocknotch/coordination/json_fields.hpp>

#include <nlohmann/json.hpp>

namespace hemlocknotch {
namespace {

using nlohmann::json;

std::vector<std::string> read_string_list(const json& value, const char* name)
{
    std::vector<std::string> strings;
    const auto list = value.find(name);
    if (list == value.end() || !list->is_array()) {
        return strings;
    }
    for (const json& it : *list) {
        if (it.is_string()) {
            strings.push_back(it.get<std::string>());
        }
    }
    return strings;
}

} // namespace

std::string write_envelope(const configuration_envelope& value)
{
    const json fields{{"revision", value.revision},
                      {"author", value.author},
                      {"applied_at", value.applied_at},
                      {"change", value.change},
                      {"previous_changes", value.previous_changes},
                      {"document", value.document}};
    return fields.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<configuration_envelope> read_envelope(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    const auto revision = value.find("revision");
    const auto document = value.find("document");
    if (revision == value.end() || !revision->is_number_unsigned() || document == value.end() ||
        !document->is_string()) {
        return std::nullopt;
    }
    configuration_envelope envelope;
    envelope.revision = revision->get<std::uint64_t>();
    if (envelope.revision == 0) {
        return std::nullopt;
    }
    envelope.author = read_string_field(value, "author");
    envelope.applied_at = read_string_field(value, "applied_at");
    envelope.change = read_string_field(value, "change");
    envelope.previous_changes = read_string_list(value, "previous_changes");
    envelope.document = document->get<std::string>();
    return envelope;
}

std::string history_key(std::uint64_t revision)
{
    return "hemlocknotch/history/" + std::to_string(revision);
}

} // namespace hemlocknotch
