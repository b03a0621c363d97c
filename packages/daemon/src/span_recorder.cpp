#include "span_recorder.hpp"

#include "traceparent.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <fstream>
#include <iostream>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

constexpr std::string_view request_operation = "request";

} // namespace

std::uint64_t compute_span_id(const request_id& id, std::string_view operation, instant started)
{
    const auto is_request = operation == request_operation;
    const auto start = is_request ? std::string{} : std::to_string(started.time_since_epoch().count());
    const auto text = id.to_string() + std::string{operation} + start;
    const auto hash = XXH64(text.data(), text.size(), 0);
    // 0 is not a valid span id.
    return hash == 0 ? 1 : hash;
}

std::string outgoing_traceparent(const request_id& id, std::string_view received)
{
    const auto context = traceparent::parse(received);
    const auto trace = context ? std::string{context->trace_id()} : id.to_string();
    return traceparent::of(trace, to_hex(compute_span_id(id, request_operation, {}))).text();
}

std::string span_line(const span_effect& effect, const process_clock& clock, std::string_view process_name)
{
    const auto context = traceparent::parse(effect.traceparent);
    const auto is_request = effect.operation == request_operation;
    nlohmann::ordered_json out;
    out["trace_id"] = context ? std::string{context->trace_id()} : effect.id.to_string();
    out["span_id"] = to_hex(compute_span_id(effect.id, effect.operation, effect.started));
    if (is_request) {
        out["parent_id"] = context ? std::string{context->span_id()} : "";
    }
    else {
        out["parent_id"] = to_hex(compute_span_id(effect.id, request_operation, effect.started));
    }
    out["operation"] = effect.operation;
    out["start_us"] = clock.wall_microseconds(effect.started);
    out["duration_us"] = (effect.ended - effect.started).count();
    out["tags"] = {{"process", process_name},
                   {"request_id", effect.id.to_string()},
                   {"client_account", effect.client_account},
                   {"profile", effect.profile},
                   {"outcome", effect.outcome}};
    return out.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::unique_ptr<span_recorder> span_recorder::open(const std::string& output, std::string process_name)
{
    auto out = std::make_unique<span_recorder>();
    out->process_name_ = std::move(process_name);
    if (output == "stderr") {
        out->output_ = &std::cerr;
        return out;
    }
    if (output.empty()) {
        return out;
    }
    auto file = std::make_unique<std::ofstream>(output, std::ios::app);
    if (!*file) {
        return nullptr;
    }
    out->output_ = file.get();
    out->file_ = std::move(file);
    return out;
}

span_recorder::~span_recorder() = default;

void span_recorder::record(const span_effect& effect, const process_clock& clock)
{
    if (output_ == nullptr) {
        return;
    }
    *output_ << span_line(effect, clock, process_name_) + '\n' << std::flush;
}

} // namespace hemlocknotch::daemon
