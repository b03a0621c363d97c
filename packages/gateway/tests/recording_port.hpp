#pragma once

#include <hemlocknotch/gateway/router_port.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway {

/// An answer as the caller sees it.
struct recorded_answer {
    int status = 0;
    std::string body;
    std::vector<header_field> headers;
    bool is_ended = false;
    bool is_aborted = false;

    [[nodiscard]] bool has_header(std::string_view name) const
    {
        for (const auto& it : headers) {
            if (it.name == name) {
                return true;
            }
        }
        return false;
    }
};

/// Returns the value of the field `name`; empty where the record has none.
inline std::string field_of(const log_effect& record, std::string_view name)
{
    const auto found = std::ranges::find(record.fields, name, &log_field::name);
    return found == record.fields.end() ? std::string{} : found->value;
}

/// Records the calls of a router.
class recording_port final : public router_port {
public:
    void start_call(const call_start& start) override { calls.push_back(start); }

    void cancel_call(call_id call) override { cancelled.insert(call); }

    bool recall_call(call_id call) override { return unsent.erase(call) > 0; }

    void pause_call(call_id call) override { paused.insert(call); }

    void resume_call(call_id call) override { paused.erase(call); }

    [[nodiscard]] bool is_caller_congested(exchange_id exchange) override
    {
        return congested.contains(exchange);
    }

    void reply(exchange_id exchange, const answer_head& head, std::string_view body) override
    {
        auto& it = answers[exchange];
        it.status = head.status;
        it.headers = head.headers;
        it.body = body;
        it.is_ended = true;
    }

    void begin_stream(exchange_id exchange, const answer_head& head) override
    {
        answers[exchange].status = head.status;
    }

    void send_part(exchange_id exchange, std::string_view bytes) override { answers[exchange].body += bytes; }

    void end_stream(exchange_id exchange) override { answers[exchange].is_ended = true; }

    void abort(exchange_id exchange) override { answers[exchange].is_aborted = true; }

    void record(const metric_effect& metric) override { metrics.push_back(metric); }

    [[nodiscard]] bool has_caller_disconnected(exchange_id exchange) override
    {
        return disconnected.contains(exchange);
    }

    [[nodiscard]] instant registry_as_of() const override { return registry_known_at; }

    [[nodiscard]] duration event_delay() const override { return duration::zero(); }

    bool wants_log(log_level /*level*/) override { return true; }

    void write_log(const log_effect& record) override { log_records.push_back(record); }

    void write_state_log(const log_effect& record) override { log_records.push_back(record); }

    std::vector<call_start> calls;
    std::set<call_id> cancelled;
    /// Calls that wait for their connection.
    std::set<call_id> unsent;
    std::map<exchange_id, recorded_answer> answers;
    /// Requests whose callers have closed their connections.
    std::set<exchange_id> disconnected;
    /// Requests whose callers take their answers slowly.
    std::set<exchange_id> congested;
    std::set<call_id> paused;
    instant registry_known_at{};
    std::vector<log_effect> log_records;
    std::vector<metric_effect> metrics;

    /// Returns the recorded log lines with the event `name`.
    [[nodiscard]] std::vector<log_effect> lines(std::string_view name) const
    {
        std::vector<log_effect> out;
        std::ranges::copy_if(log_records, std::back_inserter(out),
                             [&](const log_effect& it) { return it.event == name; });
        return out;
    }

    /// Returns the sum of the recorded values of metric `name` with `label`.
    [[nodiscard]] double total(std::string_view name, std::string_view label) const
    {
        double out = 0.0;
        for (const auto& it : metrics) {
            out += it.name == name && it.label_value == label ? it.value : 0.0;
        }
        return out;
    }
};

} // namespace hemlocknotch::gateway
