#include "settings_reference.hpp"

#include "setting_description.hpp"

#include <string_view>

namespace hemlocknotch::daemon {
namespace {

std::string_view scope_text(setting_scope scope)
{
    switch (scope) {
    case setting_scope::both:
        return "both";
    case setting_scope::entry:
        return "entry";
    case setting_scope::agent:
        return "agent";
    }
    return "";
}

} // namespace

std::string settings_reference(std::optional<process_role> role)
{
    std::string out = "| key | daemon | unit | allowed | default | meaning |\n|---|---|---|---|---|---|\n";
    for (const auto& it : setting_descriptions()) {
        if (role && !applies_to(it, *role)) {
            continue;
        }
        out += "| `" + std::string{it.path} + "` | " + std::string{scope_text(it.scope)} + " | " +
               std::string{unit_of(it)} + " | " + allowed_text(it) + " | " +
               (it.is_required ? "required" : "`" + default_text(it) + "`") + " | " +
               std::string{it.meaning} + " |\n";
    }
    return out;
}

} // namespace hemlocknotch::daemon
