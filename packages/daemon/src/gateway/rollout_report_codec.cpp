#include <hemlocknotch/wire/cbor_reader.hpp>

#include "report_exchange.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

/// The form in which gateways tell each other of roll-outs.
namespace hemlocknotch::daemon {
namespace {

using nlohmann::json;

/// First element; see `report_exchange`.
constexpr int rollouts_tag = 3;

json encode(const gateway::service_rollout_report& it)
{
    auto reference = json::array();
    for (const auto& [key, counts] : it.evidence.reference) {
        reference.push_back({key.failure_domain, key.route, counts.answers, counts.bad});
    }
    auto candidate = json::array();
    for (const auto& [key, counts] : it.evidence.candidate) {
        candidate.push_back({key.instance, key.failure_domain, key.route, counts.answers, counts.bad});
    }
    return {it.order.service,   it.order.version,     it.order.time_limit.count(),
            it.position.era,    it.position.revision, static_cast<unsigned>(it.phase),
            it.elapsed.count(), it.requests,          it.exposed,
            it.open_elsewhere,  std::move(reference), std::move(candidate)};
}

/// Returns a count that fits the sum over all gateways. A report with another one is not valid.
std::int64_t read_count(const json& value)
{
    const auto out = value.get<std::int64_t>();
    if (out < 0 || out > std::numeric_limits<std::int32_t>::max()) {
        throw json::other_error::create(0, "count out of range", nullptr);
    }
    return out;
}

gateway::answer_counts read_counts(const json& value, std::size_t first)
{
    return {read_count(value.at(first)), read_count(value.at(first + 1))};
}

gateway::service_rollout_report decode(const json& value)
{
    gateway::service_rollout_report out;
    out.order = {value.at(0).get<std::string>(), value.at(1).get<std::string>(),
                 duration{value.at(2).get<std::int64_t>()}};
    out.position = {value.at(3).get<std::uint64_t>(), value.at(4).get<std::uint64_t>()};
    const auto phase = value.at(5).get<unsigned>();
    if (phase > static_cast<unsigned>(gateway::rollout_phase::rolled_back)) {
        throw json::other_error::create(0, "unknown phase", nullptr);
    }
    out.phase = static_cast<gateway::rollout_phase>(phase);
    out.elapsed = duration{std::max<std::int64_t>(0, value.at(6).get<std::int64_t>())};
    out.requests = value.at(7).get<std::uint64_t>();
    out.exposed = value.at(8).get<std::uint64_t>();
    out.open_elsewhere = static_cast<std::uint64_t>(read_count(value.at(9)));
    for (const auto& it : value.at(10)) {
        out.evidence.reference[{it.at(0).get<std::string>(), it.at(1).get<std::string>()}] =
            read_counts(it, 2);
    }
    for (const auto& it : value.at(11)) {
        out.evidence.candidate[{it.at(0).get<std::string>(), it.at(1).get<std::string>(),
                                it.at(2).get<std::string>()}] = read_counts(it, 3);
    }
    return out;
}

} // namespace

std::vector<std::uint8_t> encode_rollout_report(const gateway::rollout_report& report)
{
    auto services = json::array();
    for (const auto& it : report.services) {
        services.push_back(encode(it));
    }
    return json::to_cbor(json{rollouts_tag, report.gateway, std::move(services)});
}

std::optional<gateway::rollout_report> decode_rollout_report(std::span<const std::uint8_t> bytes)
{
    try {
        const auto item =
            hemlocknotch::detail::read_cbor({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
        if (!item || !item->is_array() || item->empty() || item->at(0) != rollouts_tag) {
            return std::nullopt;
        }
        gateway::rollout_report out;
        out.gateway = item->at(1).get<std::string>();
        for (const auto& it : item->at(2)) {
            out.services.push_back(decode(it));
        }
        return out;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace hemlocknotch::daemon
