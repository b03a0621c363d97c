#include "fleet_model.hpp"

#include <hemlocknotch/gateway/least_loaded_placement.hpp>

#include <algorithm>
#include <cassert>
#include <cstdlib>
#include <optional>
#include <utility>

namespace hemlocknotch::gateway::model {
namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
/// Time after which a shared part that is read again is no longer worth counting.
constexpr duration reading_memory = std::chrono::seconds{10};
/// Longest time that callers let an objective or pause pass, in multiples of it, and in any case.
constexpr int patient_objectives = 4;
constexpr int patient_pauses = 8;
constexpr duration least_gap_limit = std::chrono::seconds{2};
constexpr const char* service_name = "model";
constexpr const char* host_name = "example";

std::string event_text(unsigned n)
{
    return "id: " + std::to_string(n) + "\ndata: x\n\n";
}

std::string key_of(std::size_t account)
{
    return "key-" + std::to_string(account);
}

} // namespace

/// One request over all its tries.
struct fleet_model::caller {
    drawn_request drawn;
    instant asked_at;
    unsigned tries_left = 0;
    bool is_begun = false;
    bool is_late = false;
    bool is_ended = false;
    instant last_event_at;
    /// Where the try under way is; the gateway's own number for it.
    gateway_node* gateway = nullptr;
    exchange_id exchange = 0;
};

/// An engine with the calls that run on it.
class fleet_model::engine_node final : public engine_listener {
public:
    engine_node(fleet_model& fleet, std::size_t number)
        : fleet_{fleet}, name{"engine-" + std::to_string(number)}
    {
        start();
    }

    void on_event(std::uint64_t job, bool is_last) override;
    void on_rejected(std::uint64_t job) override;

    void on_part_read(const prompt_part& part) override
    {
        auto& used_at = fleet_.part_used_at_[part.id];
        const auto now = fleet_.events_.now();
        const auto tokens = static_cast<double>(part.tokens);
        fleet_.figures_.tokens_read += tokens;
        if (used_at != instant{} && now - used_at < reading_memory) {
            fleet_.figures_.tokens_read_again += tokens;
        }
        used_at = now;
    }

    void start() { model = std::make_unique<engine_model>(fleet_.events_, fleet_.options_.engine, *this); }

    struct open_call {
        gateway_node* gateway = nullptr;
        call_id call = 0;
        double cost = 0.0;
        std::size_t profile = 0;
        std::size_t account = 0;
        unsigned events = 0;
    };

private:
    fleet_model& fleet_;

public:
    std::string name;
    /// Null while the engine is lost.
    std::unique_ptr<engine_model> model;
    /// Models of engines that were lost; the queue may still hold their events.
    std::vector<std::unique_ptr<engine_model>> gone;
    std::unordered_map<std::uint64_t, open_call> calls;
};

/// A router with the links around it.
class fleet_model::gateway_node final : public router_port {
public:
    gateway_node(fleet_model& fleet, std::size_t number, const router_options& options)
        : name{"gateway-" + std::to_string(number)},
          fleet_{fleet},
          decisions{options, fleet.placement_, plain_, *this}
    {
    }

    exchange_id ask(const std::shared_ptr<caller>& it, std::shared_ptr<const caller_request> request)
    {
        const auto id = ++last_exchange_;
        callers_.emplace(id, it);
        decisions.on_request(id, std::move(request), fleet_.events_.now());
        arm();
        return id;
    }

    void leave(exchange_id id)
    {
        if (callers_.erase(id) > 0) {
            decisions.on_caller_gone(id, fleet_.events_.now());
            arm();
        }
    }

    /// Does at the router what comes over a link.
    template <class Action>
    void after_link(Action action)
    {
        fleet_.events_.add_in(fleet_.options_.link_delay, [this, action] {
            action();
            arm();
        });
    }

    void take_event(call_id call, unsigned n, bool is_last)
    {
        const auto now = fleet_.events_.now();
        if (n == 1) {
            const answer_fields fields{.request_id = {},
                                       .is_signed = true,
                                       .is_not_executed = false,
                                       .is_event_stream = true,
                                       .is_encoded = false,
                                       .load = {}};
            decisions.on_head(call, {status_ok, {}}, fields, now);
        }
        decisions.on_part(call, event_text(n), now);
        if (is_last) {
            decisions.on_end(call, call_outcome::complete, now);
        }
    }

    void take_rejection(call_id call)
    {
        const auto now = fleet_.events_.now();
        answer_fields fields;
        fields.is_not_executed = true;
        decisions.on_head(call, {status_unavailable, {}}, fields, now);
        decisions.on_end(call, call_outcome::complete, now);
    }

    void start_call(const call_start& start) override;
    void cancel_call(call_id call) override;

    void reply(exchange_id exchange, const answer_head& head, std::string_view /*body*/) override
    {
        const auto it = take(exchange);
        duration wait{};
        for (const auto& field : head.headers) {
            if (field.name == "Retry-After") {
                wait = from_ms(std::strtod(field.value.c_str(), nullptr) * 1000.0);
            }
        }
        const auto is_refusal = head.status == status_unavailable;
        fleet_.events_.add_in(fleet_.options_.link_delay, [this, it, wait, is_refusal] {
            if (it->is_ended) {
                return;
            }
            if (is_refusal) {
                fleet_.take_refusal(it, wait);
            }
            else {
                fleet_.note_end(*it, false);
            }
        });
    }

    void begin_stream(exchange_id /*exchange*/, const answer_head& /*head*/) override {}

    void send_part(exchange_id exchange, std::string_view /*bytes*/) override;

    void end_stream(exchange_id exchange) override
    {
        const auto it = take(exchange);
        fleet_.events_.add_in(fleet_.options_.link_delay, [this, it] { fleet_.note_end(*it, true); });
    }

    void abort(exchange_id exchange) override
    {
        const auto it = take(exchange);
        fleet_.events_.add_in(fleet_.options_.link_delay, [this, it] { fleet_.note_end(*it, false); });
    }

    void record(const metric_effect& /*metric*/) override {}

    bool wants_log(log_level /*level*/) override { return false; }

    void write_log(const log_effect& /*record*/) override {}

    void arm()
    {
        const auto at = decisions.next_time(fleet_.events_.now());
        if (at >= armed_for_) {
            return;
        }
        armed_for_ = at;
        fleet_.events_.add(at, [this, at] {
            if (at != armed_for_) {
                return;
            }
            armed_for_ = instant::max();
            decisions.on_time(fleet_.events_.now());
            arm();
        });
    }

    std::string name;

private:
    std::shared_ptr<caller> take(exchange_id exchange)
    {
        const auto found = callers_.find(exchange);
        assert(found != callers_.end());
        auto out = std::move(found->second);
        callers_.erase(found);
        return out;
    }

    fleet_model& fleet_;
    least_loaded_placement plain_;
    std::unordered_map<exchange_id, std::shared_ptr<caller>> callers_;
    std::unordered_map<call_id, engine_node*> engine_of_call_;
    exchange_id last_exchange_ = 0;
    instant armed_for_ = instant::max();

public:
    router decisions;
    std::uint64_t sequence = 0;
};

void fleet_model::engine_node::on_event(std::uint64_t job, bool is_last)
{
    const auto found = calls.find(job);
    if (found == calls.end()) {
        return;
    }
    auto& it = found->second;
    const auto n = ++it.events;
    if (n == 1) {
        fleet_.figures_.profiles[it.profile].tokens_begun += it.cost;
        fleet_.figures_.accounts[it.account].tokens_begun += it.cost;
    }
    auto* gateway = it.gateway;
    gateway->after_link([gateway, call = it.call, n, is_last] { gateway->take_event(call, n, is_last); });
    if (is_last) {
        calls.erase(found);
    }
}

void fleet_model::engine_node::on_rejected(std::uint64_t job)
{
    const auto found = calls.find(job);
    assert(found != calls.end());
    auto* gateway = found->second.gateway;
    gateway->after_link([gateway, call = found->second.call] { gateway->take_rejection(call); });
    calls.erase(found);
}

void fleet_model::gateway_node::start_call(const call_start& start)
{
    const auto engine = std::ranges::find(fleet_.engines_, start.instance,
                                          [](const auto& it) -> const std::string& { return it->name; });
    assert(engine != fleet_.engines_.end());
    auto* node = engine->get();
    engine_of_call_.insert_or_assign(start.call, node);
    const auto& fields = start.request->fields;
    // The headers of the model's requests carry what only the engine knows beforehand.
    const auto profile = std::stoull(start.request->headers.at(0).value);
    const auto output = static_cast<unsigned>(std::stoul(start.request->headers.at(1).value));
    const auto account = std::stoull(start.account);
    double cost = 2.0 * output;
    for (const auto& part : fields.prompt) {
        cost += static_cast<double>(part.tokens);
    }
    const auto job = ++fleet_.last_id_;
    node->calls.emplace(job, engine_node::open_call{this, start.call, cost, profile, account, 0});
    fleet_.events_.add_in(fleet_.options_.link_delay, [node, job, output, request = start.request] {
        if (node->model && node->calls.contains(job)) {
            node->model->submit({job, request->fields.prompt, output});
        }
    });
}

void fleet_model::gateway_node::cancel_call(call_id call)
{
    const auto found = engine_of_call_.find(call);
    assert(found != engine_of_call_.end());
    auto* node = found->second;
    engine_of_call_.erase(found);
    fleet_.events_.add_in(fleet_.options_.link_delay, [this, node, call] {
        const auto it = std::ranges::find_if(node->calls, [&](const auto& open) {
            return open.second.gateway == this && open.second.call == call;
        });
        if (it == node->calls.end()) {
            return;
        }
        if (node->model) {
            node->model->cancel(it->first);
        }
        node->calls.erase(it);
    });
}

void fleet_model::gateway_node::send_part(exchange_id exchange, std::string_view /*bytes*/)
{
    const auto found = callers_.find(exchange);
    assert(found != callers_.end());
    fleet_.events_.add_in(fleet_.options_.link_delay, [this, it = found->second] {
        const auto now = fleet_.events_.now();
        const auto& profile = fleet_.load_.profiles()[it->drawn.profile];
        if (it->is_ended) {
            return;
        }
        const auto limit = it->is_begun ? profile.pause_objective : profile.objective;
        it->is_late = it->is_late || now - it->last_event_at > limit;
        if (!it->is_begun) {
            it->is_begun = true;
            const auto ms = to_ms(now - it->asked_at);
            fleet_.figures_.profiles[it->drawn.profile].first_event_ms.push_back(ms);
            fleet_.figures_.accounts[it->drawn.account].first_event_ms.push_back(ms);
        }
        it->last_event_at = now;
    });
}

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
    const auto configuration = make_configuration();
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

std::shared_ptr<const routing_configuration> fleet_model::make_configuration() const
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
        made.timeout = it.patience;
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
    const auto left = it->asked_at + profile.patience - events_.now();
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
    request->fields.patience = left;
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
    if (it->tries_left == 0 || events_.now() + retry_after >= it->asked_at + profile.patience) {
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
    auto report = std::make_shared<fleet_report>(sender.decisions.make_report(events_.now()));
    report->gateway = sender.name;
    report->sequence = ++sender.sequence;
    for (auto& it : gateways_) {
        if (it.get() != &sender) {
            auto* receiver = it.get();
            receiver->after_link(
                [this, receiver, report] { receiver->decisions.take_report(*report, events_.now()); });
        }
    }
    // As the gateways do: with more of them, reports become rarer.
    constexpr std::size_t others_per_interval = 8;
    const auto rounds = std::max<std::size_t>(1, (gateways_.size() - 1) / others_per_interval);
    events_.add_in(options_.report_interval * static_cast<int>(rounds),
                   [this, from] { exchange_reports(from); });
}

} // namespace hemlocknotch::gateway::model
