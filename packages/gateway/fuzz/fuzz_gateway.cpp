#include "fuzz_gateway.hpp"

#include "invariant_violation.hpp"

#include <utility>

namespace hemlocknotch::gateway {
namespace {

/// Number of requests that may reach an endpoint in its pause.
constexpr unsigned max_requests_in_pause = 2;

} // namespace

/// Simulates the calls that a router starts, and checks its decisions against the record of what was
/// executed.
class fuzz_fleet::port final : public router_port {
public:
    port(fuzz_fleet& fleet, gateway_state& owner) : fleet_{fleet}, owner_{owner} {}

    void start_call(const call_start& start) override
    {
        const auto& request = find(start.request->fields.id);
        request.check_call(fleet_.now_);
        fleet_.check_arrival(start);
        check_announcements(start.instance);
        check_stop(request);
        if (++owner_.attempts[request.id] > 1) {
            ++fleet_.extra_attempts_;
        }
        open_call call{.start = start};
        if (!start.resume_after.empty()) {
            call.next_event = std::stoull(start.resume_after) + 1;
        }
        owner_.calls.emplace(start.call, std::move(call));
    }

    void cancel_call(call_id call) override { owner_.calls.erase(call); }

    bool recall_call(call_id call) override
    {
        const auto found = owner_.calls.find(call);
        if (found == owner_.calls.end() || found->second.is_executing) {
            return false;
        }
        if (--owner_.attempts[found->second.start.request->fields.id] > 0) {
            --fleet_.extra_attempts_;
        }
        owner_.calls.erase(found);
        return true;
    }

    void reply(exchange_id exchange, const answer_head& head, std::string_view body) override
    {
        owner_.requests.at(exchange).note_reply(head, body);
        ++fleet_.ended_;
    }

    void begin_stream(exchange_id exchange, const answer_head& head) override
    {
        owner_.requests.at(exchange).note_stream_begun(head);
    }

    void pause_call(call_id /*call*/) override {}

    void resume_call(call_id /*call*/) override {}

    [[nodiscard]] bool is_caller_congested(exchange_id /*exchange*/) override { return false; }

    void send_part(exchange_id exchange, std::string_view bytes) override
    {
        owner_.requests.at(exchange).note_part(bytes);
    }

    void end_stream(exchange_id exchange) override
    {
        owner_.requests.at(exchange).note_stream_ended();
        ++fleet_.ended_;
    }

    void abort(exchange_id exchange) override
    {
        owner_.requests.at(exchange).note_abort();
        ++fleet_.ended_;
    }

    void record(const metric_effect& /*metric*/) override {}

    [[nodiscard]] bool has_caller_disconnected(exchange_id exchange) override
    {
        return owner_.requests.at(exchange).has_left;
    }

    [[nodiscard]] instant registry_as_of() const override { return instant{}; }

    [[nodiscard]] duration event_delay() const override { return duration::zero(); }

    bool wants_log(log_level /*level*/) override { return false; }

    void write_log(const log_effect& /*record*/) override {}

    void write_state_log(const log_effect& /*record*/) override {}

private:
    /// Checks that a gateway that stops begins no request that may outlast it.
    void check_stop(const request_oracle& request)
    {
        if (owner_.stops_at && request.ends_at > *owner_.stops_at && owner_.attempts[request.id] == 0) {
            throw invariant_violation{"a request that may outlast the gateway was begun while it stops"};
        }
    }

    /// Checks that an endpoint gets what it told this gateway to take.
    void check_announcements(const std::string& instance)
    {
        const auto& record = fleet_.endpoints_.at(instance);
        const auto left = owner_.left.find(instance);
        if (left != owner_.left.end() && left->second == record.started_at_ms) {
            throw invariant_violation{"a request was sent to an endpoint that said that it leaves"};
        }
        const auto paused = owner_.pauses.find(instance);
        if (paused == owner_.pauses.end() || paused->second.started_at_ms != record.started_at_ms) {
            return;
        }
        auto& it = paused->second;
        if (fleet_.now_ > it.from && fleet_.now_ < it.until && ++it.requests > max_requests_in_pause) {
            throw invariant_violation{"a request was sent to an endpoint that asked for a pause"};
        }
    }

    request_oracle& find(const std::string& id)
    {
        return owner_.requests.at(static_cast<exchange_id>(std::stoull(id)));
    }

    fuzz_fleet& fleet_;
    gateway_state& owner_;
};

fuzz_fleet::gateway_state::gateway_state(fuzz_fleet& fleet) : effects{std::make_unique<port>(fleet, *this)}
{
}

fuzz_fleet::gateway_state::~gateway_state() = default;

} // namespace hemlocknotch::gateway
