#pragma once

#include <hemlocknotch/coordination/instance_list.hpp>
#include <hemlocknotch/coordination/key_value_service.hpp>
#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/time.hpp>

#include <memory>

struct event_base;

namespace hemlocknotch {

/// Makes a client of the key-value service's HTTP interface (docs/INTERFACES.md) at `address`. A call that
/// has no answer after `limit` (a watch: its own limit more) ends as `unknown`. `base` must outlive it.
std::unique_ptr<key_value_service>
create_http_key_value_service(event_base* base, const endpoint_address& address, duration limit);

/// Makes a client of the instance list's HTTP interface (docs/INTERFACES.md) at `address`. `base` must
/// outlive it.
std::unique_ptr<instance_list> create_http_instance_list(event_base* base, const endpoint_address& address,
                                                         duration limit);

} // namespace hemlocknotch
