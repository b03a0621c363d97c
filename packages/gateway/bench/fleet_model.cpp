#include "fleet_model.hpp"

#include "fleet_nodes.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace hemlocknotch::gateway::model {
namespace {

/// Time after which callers give up an answer without events: multiples of the objective and of the pause
/// objective, and at least `min_gap_limit`.
constexpr int give_up_objectives = 4;
constexpr int give_up_pauses = 8;
constexpr duration min_gap_limit = std::chrono::seconds{2};
constexpr const char* service_name = "model";
constexpr const char* host_name = "example";

std::string key_of(std::size_t account)
{
    return "key-" + std::to_string(account);
}

} // namespace

fleet_model::fleet_model(const fleet_options& options, std::vector<request_profile> profiles,
                         const placement_policy& placement)
    : options_{options},
      placement_{placement},
      begin_{events_.now()},
      load_{std::move(profiles), options.load},
      random_{options.load.seed + 1}
{
    figures_.profiles.resize(load_.profiles().size());
    figures_.accounts.resize(options.load.accounts);
    for (std::size_t n = 0; n < options.engines; ++n) {
        engines_.push_back(std::make_unique<engine_node>(*this, n));
    }
    const auto configuration = create_configuration();
    for (std::size_t n = 0; n < options.gateways; ++n) {
        auto settings = options.router;
        settings.seed = random_();
        gateways_.push_back(std::make_unique<gateway_node>(*this, n, settings));
        gateways_.back()->decisions.set_gateways(options.gateways);
        gateways_.back()->decisions.set_configuration(configuration, events_.now());
    }
    publish_endpoints();
}

fleet_model::~fleet_model() = default;

std::shared_ptr<const routing_configuration> fleet_model::create_configuration() const
{
    routing_document out;
    out.version = 1;
    out.tokens_per_second = options_.tokens_per_second;
    service_definition service;
    service.name = service_name;
    service.is_model_service = true;
    out.services = {service};
    for (const auto& it : load_.profiles()) {
        route profile_route;
        profile_route.name = it.name;
        profile_route.host = host_name;
        profile_route.prefix = "/" + it.name + "/";
        profile_route.kind = request_kind::streaming;
        profile_route.timeout = it.caller_timeout;
        profile_route.objective = it.objective;
        profile_route.pause_objective = it.pause_objective;
        profile_route.services = {{service_name, 1.0}};
        out.routes.push_back(std::move(profile_route));
    }
    for (std::size_t n = 0; n < options_.load.accounts; ++n) {
        out.accounts.push_back({std::to_string(n), {key_of(n)}, std::nullopt});
    }
    return std::make_shared<routing_configuration>(std::move(out));
}

fleet_figures fleet_model::run()
{
    send_next_request();
    for (std::size_t n = 0; n < gateways_.size(); ++n) {
        exchange_reports(n);
    }
    const auto third = options_.load.length / 3;
    events_.add(begin_ + third, [this] {
        for (std::size_t n = 0; n < std::min(options_.lost_engines, engines_.size()); ++n) {
            engines_[n]->failed_models.push_back(std::move(engines_[n]->model));
            engines_[n]->calls.clear();
        }
        // The registry has noticed the failure; calls to the failed engines are never answered.
        publish_endpoints();
    });
    events_.add(begin_ + third * 2, [this] {
        for (auto& it : engines_) {
            if (!it->model) {
                it->start();
            }
        }
        publish_endpoints();
    });
    events_.run_until(begin_ + options_.load.length);
    double busy = 0.0;
    for (const auto& it : engines_) {
        busy += it->model ? to_ms(it->model->busy_time()) : 0.0;
        for (const auto& failed : it->failed_models) {
            busy += to_ms(failed->busy_time());
        }
    }
    figures_.busy = busy / (to_ms(options_.load.length) * static_cast<double>(engines_.size()));
    return std::move(figures_);
}

void fleet_model::publish_endpoints()
{
    std::vector<endpoint_record> records;
    for (const auto& it : engines_) {
        if (it->model) {
            records.push_back({.instance = it->name,
                               .service = service_name,
                               .address = *endpoint_address::parse("127.0.0.1:80"),
                               .failure_domain = "d",
                               .slots = options_.engine.slots,
                               .is_draining = false,
                               .cold_remaining = {},
                               .started_at_ms = it->failed_models.size() + 1,
                               .software_version = "v1"});
        }
    }
    for (auto& it : gateways_) {
        it->decisions.set_endpoints(records, events_.now());
        it->arm();
    }
}

void fleet_model::send_next_request()
{
    auto it = std::make_shared<caller>();
    const auto wait = load_.next(events_.now() - begin_, it->drawn);
    const auto& profile = load_.profiles()[it->drawn.profile];
    it->requested_at = events_.now();
    it->last_event_at = it->requested_at;
    it->attempts_left = 1 + profile.retries;
    double tokens = 2.0 * it->drawn.output_tokens;
    for (const auto& part : it->drawn.prompt) {
        tokens += static_cast<double>(part.tokens);
    }
    for (auto* figures : {&figures_.profiles[it->drawn.profile], &figures_.accounts[it->drawn.account]}) {
        ++figures->requested;
        figures->tokens_requested += tokens;
    }
    second_of(it->drawn.account, events_.now()).tokens_requested += tokens;
    start_attempt(it);
    events_.add_in(wait, [this] { send_next_request(); });
}

void fleet_model::start_attempt(const std::shared_ptr<caller>& it)
{
    const auto& profile = load_.profiles()[it->drawn.profile];
    const auto remaining = it->requested_at + profile.caller_timeout - events_.now();
    if (remaining <= duration::zero()) {
        return record_end(*it, false);
    }
    --it->attempts_left;
    auto request = std::make_shared<caller_request>();
    request->method = "POST";
    request->target = "/" + profile.name + "/";
    request->host = host_name;
    request->headers = {{"Profile", std::to_string(it->drawn.profile)},
                        {"Output", std::to_string(it->drawn.output_tokens)}};
    request->fields.id = std::to_string(++last_id_);
    request->fields.caller_timeout = remaining;
    request->fields.key = key_of(it->drawn.account);
    request->fields.prompt = it->drawn.prompt;
    request->fields.max_output_tokens = it->drawn.output_tokens * 2ULL;
    request->fields.output_hint = it->drawn.output_hint;
    const auto kept = options_.gateways_of_account.find(it->drawn.account);
    const auto choices = kept == options_.gateways_of_account.end() ? gateways_.size() : kept->second;
    auto* gateway = gateways_[random_() % choices].get();
    events_.add_in(options_.link_delay, [this, it, gateway, request = std::move(request)] {
        it->gateway = gateway;
        it->exchange = gateway->send_request(it, request);
        const auto& expected = load_.profiles()[it->drawn.profile];
        const auto limit = std::max({min_gap_limit, expected.objective * give_up_objectives,
                                     expected.pause_objective * give_up_pauses});
        events_.add_in(limit, [this, it, gateway, exchange = it->exchange] {
            if (!it->is_begun && !it->is_ended && it->exchange == exchange && it->gateway == gateway) {
                gateway->disconnect(exchange);
                record_end(*it, false);
            }
        });
    });
}

void fleet_model::handle_refusal(const std::shared_ptr<caller>& it, duration retry_after)
{
    ++figures_.refusals;
    second_of(it->drawn.account, events_.now()).has_unserved = true;
    figures_.false_refusals += could_be_served(*it) ? 1U : 0U;
    const auto& profile = load_.profiles()[it->drawn.profile];
    if (it->attempts_left == 0 || events_.now() + retry_after >= it->requested_at + profile.caller_timeout) {
        it->is_ended = true;
        ++figures_.profiles[it->drawn.profile].refused;
        ++figures_.accounts[it->drawn.account].refused;
        return;
    }
    it->exchange = 0;
    events_.add_in(retry_after, [this, it] { start_attempt(it); });
}

void fleet_model::record_end(caller& it, bool is_complete)
{
    if (it.is_ended) {
        return;
    }
    it.is_ended = true;
    if (!it.is_begun) {
        record_wait(it);
    }
    for (auto* figures : {&figures_.profiles[it.drawn.profile], &figures_.accounts[it.drawn.account]}) {
        ++(is_complete ? (it.is_late ? figures->late : figures->in_time) : figures->failed);
    }
}

void fleet_model::record_wait(const caller& it)
{
    const auto objective = load_.profiles()[it.drawn.profile].objective;
    for (auto at = it.requested_at + objective; at < events_.now(); at += std::chrono::seconds{1}) {
        second_of(it.drawn.account, at).has_unserved = true;
    }
}

second_figures& fleet_model::second_of(std::size_t account, instant at)
{
    auto& seconds = figures_.accounts[account].seconds;
    const auto n = static_cast<std::size_t>((at - begin_) / std::chrono::seconds{1});
    if (seconds.size() <= n) {
        seconds.resize(n + 1);
    }
    return seconds[n];
}

bool fleet_model::could_be_served(const caller& it) const
{
    const auto objective = load_.profiles()[it.drawn.profile].objective;
    const auto by = it.requested_at + objective - options_.link_delay * 4;
    return std::ranges::any_of(engines_, [&](const auto& engine) {
        return engine->model && engine->model->open_jobs() < options_.engine.slots &&
               events_.now() + engine->model->time_to_first_token(it.drawn.prompt) <= by;
    });
}

void fleet_model::exchange_reports(std::size_t from)
{
    auto& sender = *gateways_[from];
    auto report = std::make_shared<fleet_report>(sender.decisions.create_report(events_.now()));
    report->gateway = sender.name;
    report->sequence = ++sender.sequence;
    for (auto& it : gateways_) {
        if (it.get() != &sender) {
            auto* receiver = it.get();
            receiver->after_link(
                [this, receiver, report] { receiver->decisions.apply_report(*report, events_.now()); });
        }
    }
    events_.add_in(report_interval(gateways_.size() - 1), [this, from] { exchange_reports(from); });
}

} // namespace hemlocknotch::gateway::model
