#include <hemlocknotch/coordination/http_platform.hpp>

#include "http_instance_list.hpp"
#include "http_key_value_service.hpp"

namespace hemlocknotch {

std::unique_ptr<key_value_service>
create_http_key_value_service(event_base* base, const endpoint_address& address, duration timeout)
{
    return std::make_unique<http_key_value_service>(base, address, timeout);
}

std::unique_ptr<instance_list> create_http_instance_list(event_base* base, const endpoint_address& address,
                                                         duration timeout)
{
    return std::make_unique<http_instance_list>(base, address, timeout);
}

} // namespace hemlocknotch
