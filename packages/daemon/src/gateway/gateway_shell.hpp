#pragma once

#include <hemlocknotch/gateway/affinity_placement.hpp>
#include <hemlocknotch/gateway/random_placement.hpp>
#include <hemlocknotch/gateway/registry_client.hpp>
#include <hemlocknotch/gateway/registry_view.hpp>
#include <hemlocknotch/gateway/request_fields.hpp>
#include <hemlocknotch/gateway/router.hpp>

#include "../entropy_source.hpp"
#include "../libevent_handles.hpp"
#include "../metrics.hpp"
#include "../process_clock.hpp"
#include "../timer.hpp"
#include "caller_server.hpp"
#include "endpoint_pool.hpp"
#include "gateway_settings.hpp"
#include "nonblocking_log.hpp"
#include "page_server.hpp"
#include "peer_directory.hpp"
#include "peer_registry_fetcher.hpp"
#include "registry_age_monitor.hpp"
#include "registry_follower.hpp"
#include "report_exchange.hpp"
#include "request_delay_probe.hpp"
#include "rollout_registrar.hpp"
#include "signature_block_registrar.hpp"
#include "stop_schedule.hpp"
#include "stream_note_registrar.hpp"

#include <boost/leaf/result.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace hemlocknotch::daemon {

/// The I/O side of a gateway: carries out the router's decisions over sockets, and feeds it requests,
/// answers, the registry and other gateways' reports. Used by one thread.
class gateway_shell final : private gateway::router_port,
                            private caller_request_sink,
                            private endpoint_answer_sink {
public:
    /// `base`, `dialect`, `client` and `notes` must outlive the shell.
    gateway_shell(event_base* base, const gateway_settings& settings, const gateway::message_dialect& dialect,
                  gateway::registry_client& client, gateway::stream_note_store& notes);
    ~gateway_shell() override;

    gateway_shell(const gateway_shell&) = delete;
    gateway_shell(gateway_shell&&) = delete;
    gateway_shell& operator=(const gateway_shell&) = delete;
    gateway_shell& operator=(gateway_shell&&) = delete;

    /// Starts to listen and to follow the registry. Returns the address for callers, or a `start_error`; may
    /// then be called again, which goes on with the address that failed.
    boost::leaf::result<endpoint_address> start();

    /// Writes a line on the state of the process.
    void log(const log_effect& record);

    /// Returns whether this gateway is ready for callers: it has a configuration, is not stopping, and reads
    /// requests in time. Reported to the load balancer.
    [[nodiscard]] bool is_ready() const;

    /// Returns the number of other gateways whose reports are current.
    [[nodiscard]] std::size_t others_heard() const { return peers_.heard_count(); }

    /// Returns the version of the configuration in force; 0: none.
    [[nodiscard]] std::uint64_t configuration_version() const;

    /// Logs that the settings were read again. New values take effect with the next start of the process.
    void reload();

    /// Serves the requests in progress and then ends the event loop, at the latest shortly before the stop
    /// grace of the settings is over. Requests that are read late and may outlast it are refused; those that
    /// are still open at its end get a final answer.
    void stop();

private:
    void start_call(const gateway::call_start& start) override;
    void cancel_call(gateway::call_id call) override;
    bool recall_call(gateway::call_id call) override;
    void pause_call(gateway::call_id call) override;
    void resume_call(gateway::call_id call) override;
    void reply(gateway::exchange_id exchange, const gateway::answer_head& head,
               std::string_view body) override;
    void begin_stream(gateway::exchange_id exchange, const gateway::answer_head& head) override;
    void send_part(gateway::exchange_id exchange, std::string_view bytes) override;
    [[nodiscard]] bool is_caller_congested(gateway::exchange_id exchange) override;
    void end_stream(gateway::exchange_id exchange) override;
    void abort(gateway::exchange_id exchange) override;
    void record(const metric_effect& metric) override;
    [[nodiscard]] bool has_caller_disconnected(gateway::exchange_id exchange) override;
    [[nodiscard]] instant registry_as_of() const override;
    [[nodiscard]] duration event_delay() const override;
    bool wants_log(log_level level) override;
    void write_log(const log_effect& record) override;
    void write_state_log(const log_effect& record) override;

    void on_request(gateway::exchange_id exchange,
                    std::shared_ptr<const gateway::caller_request> request) override;
    void on_caller_disconnected(gateway::exchange_id exchange) override;
    void on_caller_drained(gateway::exchange_id exchange) override;
    void on_malformed(int status, std::string_view reason) override;

    void on_connected(gateway::call_id call) override;
    void on_head(gateway::call_id call, gateway::answer_head head,
                 const gateway::answer_fields& fields) override;
    void on_part(gateway::call_id call, std::string_view bytes) override;
    void on_end(gateway::call_id call, gateway::call_outcome outcome) override;
    void on_discarded(const endpoint_address& from, const discarded_answer& answer) override;

    void apply_registry_difference(const gateway::registry_difference& difference);
    void schedule_router_timer();
    void continue_stop();
    void send_report();
    void send_stream_report();
    void update_stream_notes();
    /// Writes the records of roll-outs that are due, and reports to the gateways that judge them.
    void update_rollouts();
    void apply_rollout_report(const gateway::rollout_report& report);
    /// Measures the delays of the event loop, and logs what changed in them and in the registry's age.
    void check_health();
    /// Tells the load balancer and the log when requests begin or cease to be read late.
    void check_overload();
    void record_seconds(std::string_view metric, duration value);
    void schedule_report();
    /// Sends a report at once where another gateway should not have to wait for it.
    void send_urgent_report();
    void send_update(gateway::registry_update update);
    void apply_update(const gateway::registry_update& update);
    void apply_report(const gateway::fleet_report& report, const endpoint_address& from);
    void update_gateway_count();
    /// Listens on each address but that for callers.
    boost::leaf::result<void> listen();
    [[nodiscard]] page readiness_page(std::string_view path) const;
    [[nodiscard]] page metrics_page(std::string_view path);
    [[nodiscard]] page rollouts_page();
    [[nodiscard]] page registry_page(std::string_view path, std::string_view query) const;

    event_base* base_;
    gateway_settings settings_;
    const gateway::message_dialect& dialect_;
    process_clock clock_;
    instant created_at_ = clock_.now();
    std::uint64_t incarnation_ = entropy_source{}.next();
    nonblocking_log log_;
    metrics metrics_;
    gateway::affinity_placement model_placement_;
    gateway::random_placement plain_placement_;
    gateway::router router_;
    gateway::registry_view view_;
    registry_follower follower_;
    peer_registry_fetcher fetcher_;
    gateway::registry_client& registry_client_;
    signature_block_registrar signature_blocks_;
    stream_note_registrar stream_notes_;
    rollout_registrar rollouts_;
    caller_server callers_;
    endpoint_pool pool_;
    page_server readiness_server_;
    page_server metrics_server_;
    page_server registry_server_;
    report_exchange reports_;
    /// Addresses, but that for callers, that are listened on.
    std::size_t listener_count_ = 0;
    peer_directory peers_;
    std::uint64_t report_sequence_ = 0;
    timer report_timer_;
    /// When the report timer is due; it fires later where the event loop is delayed.
    instant report_due_ = instant::max();
    timer rollout_timer_;
    timer router_timer_;
    request_delay_probe request_delay_;
    registry_age_monitor registry_age_;
    stop_schedule stop_schedule_;
    timer stop_timer_;
    instant stop_requested_at_ = instant::max();
    bool has_intake_ended_ = false;
    bool have_requests_ended_ = false;
    std::uint64_t malformed_count_ = 0;
    std::uint64_t discarded_count_ = 0;
};

} // namespace hemlocknotch::daemon
