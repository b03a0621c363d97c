#pragma once

#include <hemlocknotch/standins/client_call.hpp>
#include <hemlocknotch/standins/trace_record.hpp>

#include <cstdint>
#include <string>

namespace hemlocknotch::standins {

/// One record of a trace as it is sent, and the answer that is right.
struct load_request {
    call_request call;
    std::string expected;
    /// Number under which a plain service records the execution; empty for idempotent work.
    std::string booking;
};

/// Makes the request of `record`, the `number`th of its trace. `is_model` says which service the profile
/// names.
load_request make_load_request(const trace_record& record, std::uint64_t number, bool is_model);

} // namespace hemlocknotch::standins
