#pragma once

#include <hemlocknotch/core/agent_reducer.hpp>

#include "endpoint_client.hpp"
#include "endpoint_probe.hpp"
#include "endpoint_sink.hpp"
#include "operator_http_server.hpp"
#include "process_links.hpp"
#include "process_runtime.hpp"
#include "reducer_pump.hpp"
#include "runtime_sink.hpp"
#include "settings.hpp"

#include <boost/leaf/result.hpp>

#include <memory>
#include <string>

namespace hemlocknotch::daemon {

/// I/O side of an agent process. Turns input from links, the endpoint and the platform into events for the
/// reducer, and executes the reducer's effects. Used by one thread.
class agent_shell final : private endpoint_sink,
                          private link_sink,
                          private runtime_sink,
                          private operator_pages {
public:
    /// Creates the components without starting any. Precondition: the settings are valid.
    explicit agent_shell(const settings& values);
    ~agent_shell() override;
    agent_shell(const agent_shell&) = delete;
    agent_shell(agent_shell&&) = delete;
    agent_shell& operator=(const agent_shell&) = delete;
    agent_shell& operator=(agent_shell&&) = delete;

    /// Starts listening and processing. Returns the JSON line with the addresses listened on, or a
    /// `start_error`.
    boost::leaf::result<std::string> start();

    /// Returns the components that agent and entry processes have in common.
    [[nodiscard]] process_runtime& runtime() { return runtime_; }

private:
    void on_head(endpoint_head_event head) override;
    void on_part(endpoint_part_event part) override;
    void on_end(const endpoint_end_event& end) override;
    void on_health(const endpoint_health_event& health) override;
    void on_cache(endpoint_cache_event cache) override;
    void on_link_open(link_id link) override;
    void on_link_message(link_id link, const message& content) override;
    void on_link_closed(link_id link, const std::string& reason) override;
    void on_members(members_event members) override;
    void on_configuration(configuration_event accepted) override;
    void on_store_contact(store_contact_event contact) override;
    void on_tick() override;
    void on_stop(stop_event stop) override;
    bool has_unsent_bytes() override;
    std::string unready_reason() override;
    std::string metrics_page() override;
    std::string status_page() override;

    template <class Effect>
    void execute(Effect& effect);
    void execute(send_effect& effect);
    void execute(close_link_effect& effect);
    void execute(start_call_effect& effect);
    void execute(stop_call_effect& effect);
    void execute(probe_endpoint_effect& effect);

    settings settings_;
    process_runtime runtime_;
    agent_reducer reducer_;
    std::unique_ptr<link_factory> factory_;
    process_links links_;
    std::unique_ptr<link_listener> listener_;
    endpoint_client endpoint_;
    endpoint_probe probe_;
    operator_http_server operator_server_;
    reducer_pump<agent_reducer, agent_event, agent_effect> pump_;
};

} // namespace hemlocknotch::daemon
