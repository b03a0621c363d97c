#pragma once

#include <hemlocknotch/core/entry_reducer.hpp>

#include "caller_http_server.hpp"
#include "caller_sink.hpp"
#include "claim_client.hpp"
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

/// I/O side of an entry process. Turns input from callers, links and the platform into events for the
/// reducer, and executes the reducer's effects. Used by one thread.
class entry_shell final : private caller_sink,
                          private link_sink,
                          private runtime_sink,
                          private operator_pages {
public:
    /// Creates the components without starting any. Precondition: the settings are valid.
    explicit entry_shell(const settings& values);
    ~entry_shell() override;
    entry_shell(const entry_shell&) = delete;
    entry_shell(entry_shell&&) = delete;
    entry_shell& operator=(const entry_shell&) = delete;
    entry_shell& operator=(entry_shell&&) = delete;

    /// Starts listening and processing. Returns the JSON line with the addresses listened on, or a
    /// `start_error`.
    boost::leaf::result<std::string> start();

    /// Returns the components that agent and entry processes have in common.
    [[nodiscard]] process_runtime& runtime() { return runtime_; }

private:
    void on_request(caller_request_event request) override;
    void on_disconnected(const caller_disconnected_event& disconnected) override;
    void on_progress(const caller_progress_event& progress) override;
    void on_refused_by_server(refusal_code code) override;
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
    void execute(open_link_effect& effect);
    void execute(close_link_effect& effect);
    void execute(reply_head_effect& effect);
    void execute(reply_part_effect& effect);
    void execute(reply_end_effect& effect);
    void execute(reply_abort_effect& effect);
    void execute(reply_refusal_effect& effect);
    void execute(claim_key_effect& effect);
    void execute(settle_claim_effect& effect);

    settings settings_;
    process_runtime runtime_;
    entry_reducer reducer_;
    std::unique_ptr<link_factory> factory_;
    process_links links_;
    claim_client claims_;
    caller_http_server caller_server_;
    operator_http_server operator_server_;
    reducer_pump<entry_reducer, entry_event, entry_effect> pump_;
};

} // namespace hemlocknotch::daemon
