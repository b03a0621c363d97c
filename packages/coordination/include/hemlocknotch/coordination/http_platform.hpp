#pragma once

#include <hemlocknotch/coordination/instance_list.hpp>
#include <hemlocknotch/coordination/key_value_service.hpp>
#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/time.hpp>

#include <memory>

struct event_base;

namespace hemlocknotch {

/// Creates a client of the key-value service's HTTP interface (docs/INTERFACES.md) at `address`. A call
/// without an answer after `timeout` ends as `unknown`; a watch ends so after its own timeout plus `timeout`.
/// `base` must outlive the client.
std::unique_ptr<key_value_service>
create_http_key_value_service(event_base* base, const endpoint_address& address, duration timeout);

/// Creates a client of the instance list's HTTP interface (docs/INTERFACES.md) at `address`. A fetch without
/// an answer after `timeout` yields nothing. `base` must outlive the client.
std::unique_ptr<instance_list> create_http_instance_list(event_base* base, const endpoint_address& address,
                                                         duration timeout);

} // namespace hemlocknotch
