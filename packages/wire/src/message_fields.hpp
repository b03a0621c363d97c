#pragma once

#include <hemlocknotch/core/message.hpp>

#include <concepts>
#include <type_traits>

/// The fields of each message, in the order in which they are encoded. The encoder and the decoder share one
/// list: `visit_fields(v, value)` calls `v(field...)`, with a constant `value` to encode and a mutable one to
/// decode.
namespace hemlocknotch::detail {

/// Marks a string that may hold arbitrary bytes, to be encoded as a CBOR byte string.
template <class String>
struct byte_string {
    String& value;
};

template <class String>
byte_string<String> as_bytes(String& value)
{
    return byte_string<String>{value};
}

/// Satisfied if `M` is `T` or `const T`.
template <class M, class T>
concept value_of = std::same_as<std::remove_const_t<M>, T>;

template <class V, value_of<process_identity> M>
void visit_fields(V& visit, M& m)
{
    visit(m.name, m.incarnation);
}

template <class V, value_of<header_field> M>
void visit_fields(V& visit, M& m)
{
    visit(as_bytes(m.name), as_bytes(m.value));
}

template <class V, value_of<hello_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.version, m.role, m.sender, m.failure_domain, m.service, m.configuration_revision);
}

template <class V, value_of<submit_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.id, m.attempt, m.grant, m.client_account, m.account_name, m.profile, m.is_idempotent,
          m.is_resumable, m.estimated_cost, m.time_to_deadline, m.prefix, m.offset, m.method,
          as_bytes(m.target), m.headers, as_bytes(m.body), m.traceparent);
}

template <class V, value_of<refuse_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.id, m.attempt, m.code, m.retry_after);
}

template <class V, value_of<head_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.id, m.attempt, m.status, m.headers);
}

template <class V, value_of<part_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.id, m.attempt, m.offset, as_bytes(m.bytes));
}

template <class V, value_of<end_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.id, m.attempt, m.outcome, m.length, m.cost, m.code, m.queue_time, m.run_time);
}

template <class V, value_of<ack_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.id, m.attempt, m.offset, m.is_final);
}

template <class V, value_of<cancel_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.id, m.attempt);
}

template <class V, value_of<resolve_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.id, m.attempt, m.offset);
}

template <class V, value_of<resolved_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.id, m.attempt, m.state);
}

template <class V, value_of<demand_item> M>
void visit_fields(V& visit, M& m)
{
    visit(m.client_account, m.waiting, m.oldest_request_age, m.estimated_cost);
}

template <class V, value_of<demand_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.sequence, m.is_snapshot, m.items);
}

template <class V, value_of<free_slots_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.free_slots, m.is_draining, m.running, m.limit);
}

template <class V, value_of<grant_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.grant, m.client_account, m.time_to_live, m.cached_prefixes);
}

template <class V, value_of<decline_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.grant);
}

template <class V, value_of<service_item> M>
void visit_fields(V& visit, M& m)
{
    visit(m.client_account, m.sequence, m.charged);
}

template <class V, value_of<service_source> M>
void visit_fields(V& visit, M& m)
{
    visit(m.agent, m.items);
}

template <class V, value_of<counter_floor_item> M>
void visit_fields(V& visit, M& m)
{
    visit(m.client_account, m.counter_floor);
}

template <class V, value_of<service_report_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.service, m.sources, m.counter_floors);
}

template <class V, value_of<total_item> M>
void visit_fields(V& visit, M& m)
{
    visit(m.client_account, m.charged);
}

template <class V, value_of<service_totals_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.service, m.items, m.counter_floors);
}

template <class V, value_of<revision_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.revision);
}

template <class V, value_of<configuration_request_message> M>
void visit_fields(V& visit, M& /*m*/)
{
    visit();
}

template <class V, value_of<configuration_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.revision, as_bytes(m.document));
}

template <class V, value_of<heartbeat_message> M>
void visit_fields(V& visit, M& m)
{
    visit(m.sequence, m.is_reply);
}

/// Returns the highest value of each enumeration that messages contain; a higher number does not decode.
constexpr process_role last_of(process_role /*value*/)
{
    return process_role::agent;
}

constexpr refusal_code last_of(refusal_code /*value*/)
{
    return refusal_code::internal_limit;
}

constexpr verdict last_of(verdict /*value*/)
{
    return verdict::may_have_run;
}

constexpr dispatch_state last_of(dispatch_state /*value*/)
{
    return dispatch_state::forgotten;
}

} // namespace hemlocknotch::detail
