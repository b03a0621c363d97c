#pragma once

#include <hemlocknotch/coordination/http_client.hpp>
#include <hemlocknotch/coordination/instance_list.hpp>

namespace hemlocknotch {

/// The instance list over HTTP, as docs/INTERFACES.md describes it.
class http_instance_list final : public instance_list {
public:
    /// `base` must outlive the object. Precondition: `limit` is above zero.
    http_instance_list(event_base* base, const endpoint_address& address, duration limit);

    void fetch(callback done) override;

private:
    http_client client_;
    duration limit_;
};

} // namespace hemlocknotch
