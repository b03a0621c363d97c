#pragma once

#include <hemlocknotch/gateway/routing_configuration.hpp>

#include <cstdint>

namespace hemlocknotch::gateway {

/// Returns the configuration of the fuzz: the routes `/unsafe/` and `/safe/` of a plain service, and
/// `/stream/` and
/// `/resume/` of a model service.
routing_document create_fuzz_configuration(std::uint64_t version);

} // namespace hemlocknotch::gateway
