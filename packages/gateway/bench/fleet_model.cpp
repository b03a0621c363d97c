#include "fleet_model.hpp"

#include "fleet_nodes.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace hemlocknotch::gateway::model {
namespace {

/// Longest time that callers let an objective or pause pass, in multiples of it, and in any case.
constexpr int patient_objectives = 4;
constexpr int patient_pauses = 8;
constexpr duration least_gap_limit = std::chrono::seconds{2};
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
    tell_endpoints();
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
        route made;
        made.name = it.name;
        made.host = host_name;
        made.prefix = "/" + it.name + "/";
        made.kind = request_kind::streaming;
        made.timeout = it.caller_timeout;
        made.objective = it.objective;
        made.pause_objective = it.pause_objective;
        made.services = {{service_name, 1.0}};
        out.routes.push_back(std::move(made));
    }
    for (std::size_t n = 0; n < options_.load.accounts; ++n) {
        out.accounts.push_back({std::to_string(n), {key_of(n)}, std::nullopt});
    }
    return std::make_shared<routing_configuration>(std::move(out));
}

fleet_figures fleet_model::run()
{
    ask_next();
    for (std::size_t n = 0; n < gateways_.size(); ++n) {
        exchange_reports(n);
    }
    const auto third = options_.load.length / 3;
    events_.add(begin_ + third, [this] {
        for (std::size_t n = 0; n < std::min(options_.lost_engines, engines_.size()); ++n) {
            engines_[n]->gone.push_back(std::move(engines_[n]->model));
            engines_[n]->calls.clear();
        }
        // The registry notices that they are silent; calls to them fail at once meanwhile.
        tell_endpoints();
    });
    events_.add(begin_ + third * 2, [this] {
        for (auto& it : engines_) {
            if (!it->model) {
                it->start();
            }
        }
        tell_endpoints();
    });
    events_.run_until(begin_ + options_.load.length);
    double busy = 0.0;
    for (const auto& it : engines_) {
        busy += it->model ? to_ms(it->model->busy_time()) : 0.0;
        for (const auto& gone : it->gone) {
            busy += to_ms(gone->busy_time());
        }
    }
    figures_.busy = busy / (to_ms(options_.load.length) * static_cast<double>(engines_.size()));
    return std::move(figures_);
}

void fleet_model::tell_endpoints()
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
                               .started_at_ms = it->gone.size() + 1});
        }
    }
    for (auto& it : gateways_) {
        it->decisions.set_endpoints(records, events_.now());
        it->arm();
    }
}

void fleet_model::ask_next()
{
    auto it = std::make_shared<caller>();
    const auto wait = load_.next(events_.now() - begin_, it->drawn);
    const auto& profile = load_.profiles()[it->drawn.profile];
    it->asked_at = events_.now();
    it->last_event_at = it->asked_at;
    it->tries_left = 1 + profile.retries;
    double tokens = 2.0 * it->drawn.output_tokens;
    for (const auto& part : it->drawn.prompt) {
        tokens += static_cast<double>(part.tokens);
    }
    for (auto* figures : {&figures_.profiles[it->drawn.profile], &figures_.accounts[it->drawn.account]}) {
        ++figures->asked;
        figures->tokens_asked += tokens;
    }
    try_once(it);
    events_.add_in(wait, [this] { ask_next(); });
}

void fleet_model::try_once(const std::shared_ptr<caller>& it)
{
    const auto& profile = load_.profiles()[it->drawn.profile];
    const auto left = it->asked_at + profile.caller_timeout - events_.now();
    if (left <= duration::zero()) {
        return note_end(*it, false);
    }
    --it->tries_left;
    auto request = std::make_shared<caller_request>();
    request->method = "POST";
    request->target = "/" + profile.name + "/";
    request->host = host_name;
    request->headers = {{"Profile", std::to_string(it->drawn.profile)},
                        {"Output", std::to_string(it->drawn.output_tokens)}};
    request->fields.id = std::to_string(++last_id_);
    request->fields.caller_timeout = left;
    request->fields.key = key_of(it->drawn.account);
    request->fields.prompt = it->drawn.prompt;
    request->fields.max_output_tokens = it->drawn.output_tokens * 2ULL;
    request->fields.output_hint = it->drawn.output_hint;
    auto* gateway = gateways_[random_() % gateways_.size()].get();
    events_.add_in(options_.link_delay, [this, it, gateway, request = std::move(request)] {
        it->gateway = gateway;
        it->exchange = gateway->ask(it, request);
        const auto& asked = load_.profiles()[it->drawn.profile];
        const auto limit = std::max(
            {least_gap_limit, asked.objective * patient_objectives, asked.pause_objective * patient_pauses});
        events_.add_in(limit, [this, it, gateway, exchange = it->exchange] {
            if (!it->is_begun && !it->is_ended && it->exchange == exchange && it->gateway == gateway) {
                gateway->leave(exchange);
                note_end(*it, false);
            }
        });
    });
}

void fleet_model::take_refusal(const std::shared_ptr<caller>& it, duration retry_after)
{
    ++figures_.refusals;
    figures_.false_refusals += could_be_served(*it) ? 1U : 0U;
    const auto& profile = load_.profiles()[it->drawn.profile];
    if (it->tries_left == 0 || events_.now() + retry_after >= it->asked_at + profile.caller_timeout) {
        it->is_ended = true;
        ++figures_.profiles[it->drawn.profile].refused;
        ++figures_.accounts[it->drawn.account].refused;
        return;
    }
    it->exchange = 0;
    events_.add_in(retry_after, [this, it] { try_once(it); });
}

void fleet_model::note_end(caller& it, bool is_whole)
{
    if (it.is_ended) {
        return;
    }
    it.is_ended = true;
    for (auto* figures : {&figures_.profiles[it.drawn.profile], &figures_.accounts[it.drawn.account]}) {
        ++(is_whole ? (it.is_late ? figures->late : figures->in_time) : figures->failed);
    }
}

bool fleet_model::could_be_served(const caller& it) const
{
    const auto objective = load_.profiles()[it.drawn.profile].objective;
    const auto by = it.asked_at + objective - options_.link_delay * 4;
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
