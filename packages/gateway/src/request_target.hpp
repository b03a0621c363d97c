#pragma once

#include <hemlocknotch/gateway/placement_policy.hpp>
#include <hemlocknotch/gateway/request_fields.hpp>
#include <hemlocknotch/gateway/routing_configuration.hpp>

#include <string>
#include <string_view>

namespace hemlocknotch::gateway {

/// Returns the service of `it` for the request `id`, by weight. The same id gets the same service. Valid as
/// long as `it`. Thread-safe.
const std::string& choose_service(const route& it, std::string_view id);

/// Returns what a placement policy is told of a request's prompt and answer. A request without a hint is
/// taken to generate `expected_output_share` of the most that it may. Thread-safe.
placement_request placement_of(const request_fields& fields, double expected_output_share);

} // namespace hemlocknotch::gateway
