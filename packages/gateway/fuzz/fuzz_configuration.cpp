#include "fuzz_configuration.hpp"

#include "arrival_oracle.hpp"

#include <chrono>
#include <string>

namespace hemlocknotch::gateway {
namespace {

using std::chrono::milliseconds;

route create_route(const std::string& prefix, request_kind kind, bool is_resumable,
                   const std::string& service)
{
    route out;
    out.name = prefix;
    out.host = "h";
    out.prefix = prefix;
    out.kind = kind;
    out.timeout = std::chrono::seconds{4};
    out.objective = milliseconds{300};
    out.services = {{service, 1.0}};
    out.max_attempts = 2;
    out.is_resumable = is_resumable;
    return out;
}

} // namespace

routing_document create_fuzz_configuration(std::uint64_t version)
{
    routing_document out;
    out.version = version;
    out.routes = {create_route("/unsafe/", request_kind::unsafe, false, "plain"),
                  create_route("/safe/", request_kind::safe, false, "plain"),
                  create_route("/stream/", request_kind::streaming, false, "model"),
                  create_route("/resume/", request_kind::streaming, true, "model")};
    service_definition plain;
    plain.name = "plain";
    service_definition model;
    model.name = "model";
    model.is_model_service = true;
    model.cold_requests_per_second = arrival_oracle::cold_rate;
    out.services = {plain, model};
    out.tokens_per_second = 60'000.0;
    return out;
}

} // namespace hemlocknotch::gateway
