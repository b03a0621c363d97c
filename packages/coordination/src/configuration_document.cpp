#include <hemlocknotch/coordination/configuration_document.hpp>
#include <hemlocknotch/coordination/json_document.hpp>
#include <hemlocknotch/coordination/object_reader.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

namespace hemlocknotch {
namespace {

using nlohmann::json;

/// Maximum size of a document as stored, that is as a JSON string. A value of the key-value service holds up
/// to a megabyte; the remainder is for the other fields of `configuration_envelope`.
constexpr std::size_t max_stored_bytes = 1'000'000;
constexpr std::size_t max_name_length = 64;
constexpr double min_weight = 0.001;
constexpr double max_weight = 1000.0;
constexpr double min_estimate = 0.001;
constexpr double max_estimate = 1e9;
constexpr std::int64_t max_deadline_ms = 86'400'000;
/// Below the maximum size of a message on a link, which holds the body and the rest of the request.
constexpr std::int64_t max_max_body_bytes = std::int64_t{16} * 1024 * 1024;
constexpr std::int64_t max_max_attempts = 10;

constexpr std::array<std::string_view, 2> cost_units{"lines", "requests"};
constexpr std::array<std::string_view, 3> urgencies{"prompt", "normal", "slow"};

bool is_name(std::string_view text)
{
    const auto is_allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
               c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), is_allowed);
}

/// Builds a configuration from a parsed document and collects the errors in it.
class configuration_reader {
public:
    explicit configuration_reader(std::vector<document_error>& errors) : errors_{errors} {}

    configuration read(const json& document)
    {
        object_reader root{document, "", errors_};
        read_members(root, "services", [this](auto& reader, auto& name) { read_service(reader, name); });
        read_members(root, "profiles", [this](auto& reader, auto& name) { read_profile(reader, name); });
        read_members(root, "client_accounts",
                     [this](auto& reader, auto& name) { read_client_account(reader, name); });
        if (const json* it = root.member("out_of_service", false)) {
            read_out_of_service(*it, root.path_of("out_of_service"));
        }
        root.finish();
        check_keys("services", value_.services);
        check_keys("client_accounts", value_.client_accounts);
        return std::move(value_);
    }

private:
    template <class Read>
    void read_members(object_reader& root, std::string_view name, const Read& read)
    {
        const json* value = root.member(name, true);
        if (value == nullptr) {
            return;
        }
        const object_reader members{*value, root.path_of(name), errors_};
        if (!members.is_object()) {
            return;
        }
        for (const auto& [key, it] : value->items()) {
            if (!is_name(key)) {
                errors_.push_back({members.path_of(key), "the name " + describe(key),
                                   "1 to 64 letters, digits, '-', '_' or '.'"});
            }
            object_reader reader{it, members.path_of(key), errors_};
            read(reader, key);
            reader.finish();
        }
    }

    void read_service(object_reader& reader, const std::string& name)
    {
        service_definition service{name, account_key::of(name), cost_unit::lines, 1.0};
        service.unit = static_cast<cost_unit>(reader.choice("cost_unit", cost_units, std::nullopt));
        service.initial_estimate = reader.number("initial_estimate", min_estimate, max_estimate, 1.0);
        value_.services.emplace(name, service);
    }

    void read_profile(object_reader& reader, const std::string& name)
    {
        profile_definition profile;
        profile.name = name;
        profile.service = reader.text("service", std::nullopt);
        if (!profile.service.empty() && !value_.services.contains(profile.service)) {
            reader.report("service", "\"" + profile.service + "\"", "the name of one of services");
        }
        profile.is_idempotent = reader.boolean("idempotent", std::nullopt);
        profile.is_resumable = reader.boolean("resumable", false);
        const auto normal = static_cast<std::size_t>(urgency::normal);
        profile.work_urgency = static_cast<urgency>(reader.choice("urgency", urgencies, normal));
        profile.deadline =
            std::chrono::milliseconds{reader.integer("deadline_ms", 1, max_deadline_ms, std::nullopt)};
        profile.max_body_bytes =
            static_cast<std::uint64_t>(reader.integer("max_body_bytes", 0, max_max_body_bytes, std::nullopt));
        profile.max_attempts =
            static_cast<std::uint32_t>(reader.integer("max_attempts", 1, max_max_attempts, 1));
        check_non_idempotent(reader, profile);
        value_.profiles.emplace(name, profile);
    }

    /// Requests that are not idempotent run at most once, so they can neither be retried nor resumed from an
    /// offset.
    static void check_non_idempotent(object_reader& reader, const profile_definition& profile)
    {
        if (profile.is_idempotent || !reader.has("idempotent")) {
            return;
        }
        if (profile.max_attempts > 1) {
            reader.report("max_attempts", std::to_string(profile.max_attempts),
                          "1, because the profile is not idempotent");
        }
        if (profile.is_resumable) {
            reader.report("resumable", "true", "false, because the profile is not idempotent");
        }
    }

    void read_client_account(object_reader& reader, const std::string& name)
    {
        client_account_definition account{name, account_key::of(name), 1.0};
        account.weight = reader.number("weight", min_weight, max_weight, 1.0);
        value_.weights[account.key] = account.weight;
        value_.client_accounts.emplace(name, account);
    }

    void read_out_of_service(const json& value, const std::string& path)
    {
        object_reader reader{value, path, errors_};
        const std::vector<std::string> domains = reader.string_list("failure_domains");
        const std::vector<std::string> instances = reader.string_list("instances");
        value_.out.failure_domains.insert(domains.begin(), domains.end());
        value_.out.instances.insert(instances.begin(), instances.end());
        reader.finish();
    }

    /// Processes identify services and accounts by the 32-bit keys of their names, so no two names may share
    /// one.
    template <class Map>
    void check_keys(std::string_view group, const Map& definitions)
    {
        std::unordered_map<account_key, std::string> names;
        for (const auto& [name, definition] : definitions) {
            const auto [it, is_new] = names.emplace(definition.key, name);
            if (!is_new) {
                errors_.push_back({std::string{group} + "." + name, "the same 32-bit hash as " + it->second,
                                   "a name with another hash; rename one of the two"});
            }
        }
    }

    std::vector<document_error>& errors_;
    configuration value_;
};

/// Appends an error if `document` cannot be stored unchanged.
void check_stored_form(std::string_view document, std::vector<document_error>& errors)
{
    try {
        const std::size_t n = json(document).dump().size();
        if (n >= max_stored_bytes) {
            errors.push_back({"", std::to_string(n) + " bytes as stored",
                              "less than " + std::to_string(max_stored_bytes) + " bytes"});
        }
    }
    catch (const json::type_error&) {
        errors.push_back({"", "bytes that are not UTF-8", "text in UTF-8, comments included"});
    }
}

} // namespace

std::string to_string(const document_error& error)
{
    const std::string location = error.path.empty() ? "document" : error.path;
    return location + ": found " + error.found + "; allowed: " + error.allowed;
}

configuration_read_result read_configuration(std::string_view document, std::uint64_t revision)
{
    configuration_read_result reading;
    check_stored_form(document, reading.errors);
    const std::optional<json> parsed = parse_json_document(document, reading.errors);
    if (!parsed) {
        return reading;
    }
    configuration value = configuration_reader{reading.errors}.read(*parsed);
    if (reading.errors.empty()) {
        value.revision = revision;
        value.document = document;
        reading.accepted = std::make_shared<const configuration>(std::move(value));
    }
    return reading;
}

} // namespace hemlocknotch
