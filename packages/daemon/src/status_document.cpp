#include "status_document.hpp"

#include <nlohmann/json.hpp>

namespace hemlocknotch::daemon {
namespace {

template <class Definitions>
std::string name_of(account_key key, const Definitions& definitions)
{
    for (const auto& [name, it] : definitions) {
        if (it.key == key) {
            return name;
        }
    }
    return std::to_string(key.value());
}

nlohmann::ordered_json counters_of(const status_document& status, const configuration* names)
{
    static const configuration no_names;
    const auto& known = names == nullptr ? no_names : *names;
    auto out = nlohmann::ordered_json::object();
    for (const auto& it : status.counters) {
        const auto service = name_of(it.service, known.services);
        out[service][name_of(it.client_account, known.client_accounts)] = it.counter;
    }
    return out;
}

} // namespace

std::string write_status(const status_document& status, const configuration* names)
{
    const auto is_entry = status.role == process_role::entry;
    nlohmann::ordered_json out;
    out["name"] = status.name;
    out["role"] = is_entry ? "entry" : "agent";
    out["failure_domain"] = status.failure_domain;
    out["incarnation"] = status.incarnation;
    out["revision"] = status.revision;
    out["is_ready"] = status.is_ready;
    out["is_draining"] = status.is_draining;
    out["links"] = status.links;
    if (is_entry) {
        out["waiting"] = status.waiting;
        out["outstanding"] = status.outstanding;
    }
    else {
        out["service"] = status.service;
        out["running"] = status.running;
        out["limit"] = status.limit;
        out["room"] = status.free_slots;
    }
    out["counters"] = counters_of(status, names);
    return out.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace hemlocknotch::daemon
