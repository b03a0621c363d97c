#pragma once

#include <hemlocknotch/coordination/instance_list.hpp>
#include <hemlocknotch/coordination/key_value_service.hpp>
#include <hemlocknotch/core/configuration.hpp>
#include <hemlocknotch/core/entry_effect.hpp>

#include "configuration_watcher.hpp"
#include "entropy_source.hpp"
#include "event_log.hpp"
#include "libevent_handles.hpp"
#include "metrics.hpp"
#include "process_clock.hpp"
#include "runtime_sink.hpp"
#include "settings.hpp"
#include "span_recorder.hpp"
#include "timer.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlocknotch::daemon {

/// Components that agent and entry processes have in common: event loop, clock, entropy, log, metrics, spans,
/// clients of the platform's services, ticks and signals. Used by the event loop's thread only.
class process_runtime final : private configuration_watcher_sink {
public:
    /// Creates the components without starting any. `sink` must outlive the runtime. Precondition: the
    /// settings are valid.
    process_runtime(const settings& values, runtime_sink& sink);
    ~process_runtime() override;
    process_runtime(const process_runtime&) = delete;
    process_runtime(process_runtime&&) = delete;
    process_runtime& operator=(const process_runtime&) = delete;
    process_runtime& operator=(process_runtime&&) = delete;

    /// Opens the output for spans, starts to poll the instance list and handles signals from now on. Fails
    /// with a `start_error`.
    boost::leaf::result<void> start();

    /// Sets the function that reloads the settings file on SIGHUP. It returns the new log level, or nothing
    /// if the file has errors.
    void set_reload(std::function<std::optional<std::string>()> reload) { reload_ = std::move(reload); }

    /// Runs the event loop until the process has stopped.
    void run();

    [[nodiscard]] event_base* base() const { return base_.get(); }

    [[nodiscard]] const process_clock& clock() const { return clock_; }

    [[nodiscard]] entropy_source& entropy() { return entropy_; }

    [[nodiscard]] metrics& process_metrics() { return metrics_; }

    [[nodiscard]] key_value_service& store() { return *store_; }

    [[nodiscard]] bool is_ready() const { return is_ready_; }

    /// Returns the newest valid configuration, or null before the first. It maps keys to names.
    [[nodiscard]] const configuration_ptr& newest_configuration() const { return newest_; }

    /// Updates the metrics of the process and returns all metrics as text.
    std::string metrics_text();

    void execute(const read_configuration_effect& effect);
    void execute(const watch_store_effect& effect);
    void execute(const schedule_tick_effect& effect);
    void execute(const readiness_effect& effect);
    void execute(const stopped_effect& effect);
    void execute(const log_effect& effect);
    void execute(const metric_effect& effect);
    void execute(const span_effect& effect);

private:
    struct signal_handler;

    void on_store_contact(bool is_reached) override;
    void on_envelope(const configuration_envelope& envelope) override;
    void on_unreadable_envelope() override;
    void read_document(std::uint64_t revision, const std::string& document);
    void poll_members();
    void on_signal(int number);
    void exit_when_sent();

    settings settings_;
    runtime_sink& sink_;
    event_base_ptr base_;
    process_clock clock_;
    entropy_source entropy_;
    event_log log_;
    metrics metrics_;
    std::unique_ptr<span_recorder> spans_;
    std::unique_ptr<key_value_service> store_;
    std::unique_ptr<instance_list> instances_;
    configuration_watcher watcher_;
    configuration_ptr newest_;
    std::function<std::optional<std::string>()> reload_;
    instant started_;
    instant stopped_;
    bool is_ready_ = false;
    bool is_stopping_ = false;
    bool is_instance_list_reachable_ = true;
    timer tick_;
    timer members_;
    timer exit_;
    std::vector<std::unique_ptr<signal_handler>> signals_;
};

} // namespace hemlocknotch::daemon
