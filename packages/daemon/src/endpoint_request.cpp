#include "endpoint_request.hpp"

#include "caller_headers.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

constexpr std::string_view request_id_header = "X-Request-Id";
constexpr std::string_view trace_header = "traceparent";
constexpr std::string_view host_header = "Host";

bool has_header(const std::vector<header_field>& headers, std::string_view name)
{
    return std::ranges::any_of(headers, [&](const auto& field) { return is_same_header(field.name, name); });
}

void add_host(endpoint_request& request, const endpoint_address& endpoint)
{
    if (!has_header(request.headers, host_header)) {
        request.headers.push_back({std::string{host_header}, endpoint.to_string()});
    }
}

} // namespace

endpoint_request request_of_call(const start_call_effect& call, const endpoint_address& endpoint)
{
    endpoint_request out{call.method, call.target, {}, call.body};
    out.headers.reserve(call.headers.size() + 3);
    for (const auto& field : call.headers) {
        const auto is_own =
            is_same_header(field.name, request_id_header) || is_same_header(field.name, trace_header);
        if (!is_own && !is_hop_by_hop_header(field.name)) {
            out.headers.push_back(field);
        }
    }
    out.headers.push_back({std::string{request_id_header}, call.id.to_string()});
    if (!call.traceparent.empty()) {
        out.headers.push_back({std::string{trace_header}, call.traceparent});
    }
    add_host(out, endpoint);
    return out;
}

endpoint_request request_of_resume(const start_call_effect& call, const endpoint_address& endpoint)
{
    auto out = request_of_page(
        "/v1/streams/" + call.id.to_string() + "?offset=" + std::to_string(call.offset), endpoint);
    out.headers.push_back({std::string{request_id_header}, call.id.to_string()});
    if (!call.traceparent.empty()) {
        out.headers.push_back({std::string{trace_header}, call.traceparent});
    }
    return out;
}

endpoint_request request_of_cancel(const request_id& id, const endpoint_address& endpoint)
{
    auto out = request_of_page("/v1/streams/" + id.to_string(), endpoint);
    out.method = "DELETE";
    return out;
}

endpoint_request request_of_page(std::string target, const endpoint_address& endpoint)
{
    endpoint_request out{"GET", std::move(target), {}, {}};
    add_host(out, endpoint);
    return out;
}

} // namespace hemlocknotch::daemon
