#pragma once

#include <hemlocknotch/core/entry_state.hpp>

#include "caller_handler.hpp"
#include "dispatcher.hpp"
#include "entry_data.hpp"
#include "entry_step.hpp"
#include "link_handler.hpp"
#include "outcome_handler.hpp"
#include "request_finisher.hpp"

#include <optional>

namespace hemlocknotch {

/// The state of an entry process and the handlers that change it. Passes each event to its handler, then
/// updates what depends on the state of several handlers: timers, readiness, the end of a graceful stop, and
/// the demand reported to agents.
class entry_core : public entry_state {
public:
    /// Creates the state of an entry process that starts with its first event.
    explicit entry_core(const entry_options& options);

    std::vector<entry_effect> reduce(const entry_event& event) override;
    [[nodiscard]] entry_status status() const override;

private:
    void start(entry_step& step);
    void on(entry_step& step, const members_event& value);
    void on(entry_step& step, const configuration_event& value);
    void on(entry_step& step, const store_contact_event& value);
    void on(entry_step& step, const stop_event& value);
    void run_timers(entry_step& step);
    void run_timer(entry_step& step, entry_request& value);
    void run_periodic_work(entry_step& step);
    void end_all(entry_step& step);
    void update_readiness(entry_step& step);
    void update_watch(entry_step& step);
    void finish_stop(entry_step& step);
    void schedule(entry_step& step, std::optional<instant> demand_at);
    [[nodiscard]] instant next_maintenance(instant now) const;

    entry_data data_;
    request_finisher finisher_;
    dispatcher dispatcher_;
    outcome_handler outcomes_;
    caller_handler callers_;
    link_handler links_;
    std::optional<bool> reported_ready_;
    std::optional<bool> reported_watch_;
    bool is_started_ = false;
    bool is_stopped_ = false;
    instant maintain_at_;
    instant report_at_;
    instant scheduled_at_ = instant::max();
};

} // namespace hemlocknotch
