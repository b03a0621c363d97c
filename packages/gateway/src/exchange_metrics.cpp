#include "exchange_metrics.hpp"

#include <chrono>

namespace hemlocknotch::gateway {

void record_request(router_port& port, const exchange& it)
{
    if (!it.account.empty()) {
        port.record({metric_kind::counter, "hemlocknotch_gateway_account_requests_total", "account",
                     it.account, 1.0});
    }
}

void record_attempt(router_port& port, const exchange& it, instant now)
{
    port.record({metric_kind::histogram, "hemlocknotch_gateway_wait_seconds", "route", it.matched->name,
                 std::chrono::duration<double>(now - it.arrived).count()});
    port.record(
        {metric_kind::counter, "hemlocknotch_gateway_endpoint_calls_total", "endpoint", it.instance, 1.0});
    if (it.is_model) {
        constexpr auto name = "hemlocknotch_gateway_prompt_tokens_total";
        const auto cached = it.placement_input.prompt_tokens - it.pending;
        port.record({metric_kind::counter, name, "source", "kept", cached});
        port.record({metric_kind::counter, name, "source", "read", it.pending});
    }
}

void record_failed_call(router_port& port, const exchange& it)
{
    port.record(
        {metric_kind::counter, "hemlocknotch_gateway_endpoint_failures_total", "endpoint", it.instance, 1.0});
}

void record_stream_not_continued(router_port& port, const exchange& it)
{
    port.record({metric_kind::counter, "hemlocknotch_gateway_streams_not_continued_total", "endpoint",
                 it.instance, 1.0});
}

} // namespace hemlocknotch::gateway
