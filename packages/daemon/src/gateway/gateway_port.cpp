#include "gateway_shell.hpp"

/// How a gateway carries out what its router decides.
namespace hemlocknotch::daemon {

void gateway_shell::start_call(const gateway::call_start& start)
{
    pool_.start(start);
}

void gateway_shell::cancel_call(gateway::call_id call)
{
    pool_.cancel(call);
}

bool gateway_shell::recall_call(gateway::call_id call)
{
    return pool_.recall(call);
}

void gateway_shell::pause_call(gateway::call_id call)
{
    pool_.pause(call);
}

void gateway_shell::resume_call(gateway::call_id call)
{
    pool_.resume(call);
}

bool gateway_shell::is_caller_congested(gateway::exchange_id exchange)
{
    return callers_.is_congested(exchange);
}

void gateway_shell::reply(gateway::exchange_id exchange, const gateway::answer_head& head,
                          std::string_view body)
{
    callers_.reply(exchange, head, body);
}

void gateway_shell::begin_stream(gateway::exchange_id exchange, const gateway::answer_head& head)
{
    callers_.begin_stream(exchange, head);
}

void gateway_shell::send_part(gateway::exchange_id exchange, std::string_view bytes)
{
    callers_.send_part(exchange, bytes);
}

void gateway_shell::end_stream(gateway::exchange_id exchange)
{
    callers_.end_stream(exchange);
}

void gateway_shell::abort(gateway::exchange_id exchange)
{
    callers_.abort(exchange);
}

bool gateway_shell::has_caller_disconnected(gateway::exchange_id exchange)
{
    return callers_.has_disconnected(exchange);
}

instant gateway_shell::registry_as_of() const
{
    return follower_.current_as_of();
}

duration gateway_shell::event_delay() const
{
    return request_delay_.delay();
}

void gateway_shell::record(const metric_effect& metric)
{
    metrics_.record(metric);
}

bool gateway_shell::wants_log(log_level level)
{
    return log_.try_acquire(level);
}

void gateway_shell::write_log(const log_effect& record)
{
    log_.write(record);
}

void gateway_shell::write_state_log(const log_effect& record)
{
    log_.write_state(record);
}

} // namespace hemlocknotch::daemon
