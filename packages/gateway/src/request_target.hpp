#pragma once

#include <hemlocknotch/gateway/placement_policy.hpp>
#include <hemlocknotch/gateway/request_fields.hpp>
#include <hemlocknotch/gateway/routing_configuration.hpp>

#include <string>
#include <string_view>

namespace hemlocknotch::gateway {

/// Returns the service of `it` that serves the request `id`, chosen by weight. Equal ids get the same
/// service. Valid as long as `it`. Thread-safe.
const std::string& choose_service(const route& it, std::string_view id);

/// Returns the properties of a request that a placement policy needs. A request without a hint is expected to
/// generate `expected_output_share` of its maximum. Thread-safe.
placement_request placement_of(const request_fields& fields, double expected_output_share);

} // namespace hemlocknotch::gateway
