#pragma once

#include <hemlocknotch/gateway/random_placement.hpp>

#include "fleet_model.hpp"

#include <cassert>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

/// Nodes of a `fleet_model`: callers, engines with their calls, and gateways with their links.
namespace hemlocknotch::gateway::model {

/// One request with all its attempts.
struct fleet_model::caller {
    drawn_request drawn;
    instant requested_at;
    unsigned attempts_left = 0;
    bool is_begun = false;
    bool is_late = false;
    bool is_ended = false;
    instant last_event_at;
    /// Gateway of the current attempt, and its id for the request.
    gateway_node* gateway = nullptr;
    exchange_id exchange = 0;
};

/// An engine with the calls that it executes.
class fleet_model::engine_node final : public engine_listener {
public:
    engine_node(fleet_model& fleet, std::size_t number)
        : fleet_{fleet}, name{"engine-" + std::to_string(number)}
    {
        start();
    }

    void on_event(std::uint64_t job, bool is_last) override;
    void on_rejected(std::uint64_t job) override;

    void on_part_read(const prompt_part& part) override;

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
    /// Null while the engine has failed.
    std::unique_ptr<engine_model> model;
    /// Models from before each failure; the event queue may still hold events of them.
    std::vector<std::unique_ptr<engine_model>> failed_models;
    std::unordered_map<std::uint64_t, open_call> calls;
};

/// A router with its links to callers and engines.
class fleet_model::gateway_node final : public router_port {
public:
    gateway_node(fleet_model& fleet, std::size_t number, const router_options& options)
        : name{"gateway-" + std::to_string(number)},
          fleet_{fleet},
          decisions{options, fleet.placement_, plain_, *this}
    {
    }

    exchange_id send_request(const std::shared_ptr<caller>& it, std::shared_ptr<const caller_request> request)
    {
        const auto id = ++last_exchange_;
        callers_.emplace(id, it);
        decisions.on_request(id, std::move(request), fleet_.events_.now());
        arm();
        return id;
    }

    void disconnect(exchange_id id)
    {
        if (callers_.erase(id) > 0) {
            decisions.on_caller_disconnected(id, fleet_.events_.now());
            arm();
        }
    }

    /// Runs `action` at the router after the delay of a link.
    template <class Action>
    void after_link(Action action)
    {
        fleet_.events_.add_in(fleet_.options_.link_delay, [this, action] {
            action();
            arm();
        });
    }

    void handle_event(call_id call, unsigned n, bool is_last);

    void handle_rejection(call_id call);

    void start_call(const call_start& start) override;
    void cancel_call(call_id call) override;

    /// Requests leave at once in the model.
    bool recall_call(call_id /*call*/) override { return false; }

    void pause_call(call_id /*call*/) override {}

    void resume_call(call_id /*call*/) override {}

    [[nodiscard]] bool is_caller_congested(exchange_id /*exchange*/) override { return false; }

    void reply(exchange_id exchange, const answer_head& head, std::string_view body) override;

    void begin_stream(exchange_id /*exchange*/, const answer_head& /*head*/) override {}

    void send_part(exchange_id exchange, std::string_view /*bytes*/) override;

    void end_stream(exchange_id exchange) override
    {
        const auto it = remove_caller(exchange);
        fleet_.events_.add_in(fleet_.options_.link_delay, [this, it] { fleet_.record_end(*it, true); });
    }

    void abort(exchange_id exchange) override
    {
        const auto it = remove_caller(exchange);
        fleet_.events_.add_in(fleet_.options_.link_delay, [this, it] { fleet_.record_end(*it, false); });
    }

    void record(const metric_effect& /*metric*/) override {}

    [[nodiscard]] bool has_caller_disconnected(exchange_id /*exchange*/) override { return false; }

    [[nodiscard]] instant registry_as_of() const override { return instant{}; }

    [[nodiscard]] duration event_delay() const override { return duration::zero(); }

    bool wants_log(log_level /*level*/) override { return false; }

    void write_log(const log_effect& /*record*/) override {}

    void write_state_log(const log_effect& /*record*/) override {}

    /// Schedules the next call of the router's `on_timer`.
    void arm();

    std::string name;

private:
    std::shared_ptr<caller> remove_caller(exchange_id exchange)
    {
        const auto found = callers_.find(exchange);
        assert(found != callers_.end());
        auto out = std::move(found->second);
        callers_.erase(found);
        return out;
    }

    fleet_model& fleet_;
    random_placement plain_;
    std::unordered_map<exchange_id, std::shared_ptr<caller>> callers_;
    std::unordered_map<call_id, engine_node*> engine_of_call_;
    exchange_id last_exchange_ = 0;
    instant armed_for_ = instant::max();

public:
    router decisions;
    std::uint64_t sequence = 0;
};

} // namespace hemlocknotch::gateway::model
