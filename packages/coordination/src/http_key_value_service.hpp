#pragma once

#include <hemlocknotch/coordination/http_client.hpp>
#include <hemlocknotch/coordination/key_value_service.hpp>

#include <string_view>

namespace hemlocknotch {

/// Client of the key-value service's HTTP interface, which docs/INTERFACES.md describes. A pending watch does
/// not delay other calls, since each call has a connection to itself.
class http_key_value_service final : public key_value_service {
public:
    /// `base` must outlive the object. Precondition: `timeout` is above zero.
    http_key_value_service(event_base* base, const endpoint_address& address, duration timeout);

    void get(std::string_view key, callback done) override;
    void compare_and_swap(std::string_view key, std::uint64_t expected, std::string_view value,
                          std::uint64_t lease, callback done) override;
    void remove(std::string_view key, std::uint64_t expected, callback done) override;
    void watch(std::string_view key, std::uint64_t known, duration timeout, callback done) override;
    void grant_lease(duration time_to_live, callback done) override;
    void keep_lease(std::uint64_t lease, callback done) override;

    [[nodiscard]] std::uint64_t call_count() const override { return call_count_; }

private:
    void send(const http_call& call, duration timeout, std::string_view number_header, callback done);

    http_client client_;
    duration timeout_;
    std::uint64_t call_count_ = 0;
};

} // namespace hemlocknotch
