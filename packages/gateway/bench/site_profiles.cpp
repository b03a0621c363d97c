#include "site_profiles.hpp"

#include <chrono>
#include <utility>

namespace hemlocknotch::gateway::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Rate, objective, timeout of the callers, and mean number of events of one kind of request.
struct kind_figures {
    double per_second = 0.0;
    milliseconds objective{};
    seconds caller_timeout{};
    double events = 1.0;
};

/// Returns the request profiles of a site. Both sites draw prompts from the same distributions; the numbers
/// of shared parts are given.
std::vector<request_profile> create_requests(const kind_figures& draft, const kind_figures& answer,
                                             const kind_figures& label, milliseconds pause,
                                             std::size_t draft_parts, std::size_t answer_parts,
                                             std::size_t label_parts)
{
    const auto make = [&](const char* name, const kind_figures& kind, length_spread own, double event_spread,
                          double most_events, std::vector<part_level> shared) {
        return request_profile{.name = name,
                               .per_second = kind.per_second,
                               .objective = kind.objective,
                               .caller_timeout = kind.caller_timeout,
                               .pause_objective = pause,
                               .own_tokens = own,
                               .events = {kind.events, event_spread, most_events},
                               .shared = std::move(shared),
                               .retries = 1};
    };
    return {make("draft", draft, {6610.0, 1.4, 54'600.0}, 0.44, 187.0,
                 {{{512.0, 0.4, 1280.0}, 3, 0.0}, {{4870.0, 0.7, 14'600.0}, draft_parts, 0.3}}),
            make("answer", answer, {628.0, 1.0, 3310.0}, 0.69, 159.0,
                 {{{119.0, 0.4, 298.0}, 40, 0.0}, {{79.4, 0.7, 238.0}, answer_parts, 0.3}}),
            make("label", label, {1800.0, 1.3, 6870.0}, 1.4, 15.0,
                 {{{341.0, 0.4, 851.0}, 8, 0.0}, {{227.0, 0.7, 681.0}, label_parts, 0.3}})};
}

engine_traits create_engine(double step_ms, double step_ms_per_request, double tokens_per_ms,
                            unsigned event_tokens)
{
    engine_traits out;
    out.step_ms = step_ms;
    out.step_ms_per_request = step_ms_per_request;
    out.prompt_tokens_per_ms = tokens_per_ms;
    out.event_tokens = event_tokens;
    return out;
}

site_profile create_saadruil()
{
    site_profile out;
    out.fleet.engine = create_engine(2.6, 0.12, 48.2, 8);
    out.requests = create_requests(
        {48.5, milliseconds{1200}, seconds{12}, 48.0}, {86.3, milliseconds{1000}, seconds{10}, 36.0},
        {74.1, milliseconds{2000}, seconds{3}, 3.0}, milliseconds{600}, 98, 155, 62);
    return out;
}

site_profile create_fassreg()
{
    site_profile out;
    out.fleet.engines = 9;
    out.fleet.tokens_per_second = 190'000.0;
    out.fleet.link_delay = std::chrono::microseconds{1400};
    out.fleet.engine = create_engine(3.79, 0.0893, 56.6, 6);
    out.requests = create_requests(
        {27.8, milliseconds{800}, seconds{15}, 63.7}, {43.9, milliseconds{400}, seconds{12}, 48.6},
        {40.1, milliseconds{500}, seconds{3}, 3.76}, milliseconds{400}, 98, 155, 62);
    return out;
}

/// Sets the numbers of gateways, engines and accounts, and scales the load and the configured tokens per
/// second with the number of engines.
site_profile resize(site_profile site, std::size_t gateways, std::size_t engines, std::size_t accounts)
{
    const auto factor = static_cast<double>(engines) / static_cast<double>(site.fleet.engines);
    site.fleet.gateways = gateways;
    site.fleet.engines = engines;
    site.fleet.tokens_per_second *= factor;
    site.fleet.load.accounts = accounts;
    for (auto& it : site.requests) {
        it.per_second *= factor;
        // The number of shared parts of the first level does not depend on the size.
        it.shared.back().count =
            static_cast<std::size_t>(static_cast<double>(it.shared.back().count) * factor);
    }
    return site;
}

} // namespace

std::optional<site_profile> find_site(std::string_view name)
{
    if (name == "saadruil") {
        return create_saadruil();
    }
    if (name == "fassreg-ch") {
        return create_fassreg();
    }
    if (name == "saadruil-grown") {
        return resize(create_saadruil(), 23, 42, 30);
    }
    if (name == "fassreg-ch-grown") {
        return resize(create_fassreg(), 30, 54, 30);
    }
    if (name == "saadruil-large") {
        return resize(create_saadruil(), 103, 180, 60);
    }
    if (name == "long-run") {
        return resize(create_saadruil(), 400, 2500, 9400);
    }
    return std::nullopt;
}

} // namespace hemlocknotch::gateway::model
