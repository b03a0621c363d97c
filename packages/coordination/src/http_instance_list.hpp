#pragma once

#include <hemlocknotch/coordination/http_client.hpp>
#include <hemlocknotch/coordination/instance_list.hpp>

namespace hemlocknotch {

/// Client of the instance list's HTTP interface, which docs/INTERFACES.md describes.
class http_instance_list final : public instance_list {
public:
    /// `base` must outlive the object. Precondition: `timeout` is above zero.
    http_instance_list(event_base* base, const endpoint_address& address, duration timeout);

    void fetch(callback done) override;

private:
    http_client client_;
    duration timeout_;
};

} // namespace hemlocknotch
