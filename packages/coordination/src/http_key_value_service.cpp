#include "http_key_value_service.hpp"

#include <cassert>
#include <string>
#include <utility>

namespace hemlocknotch {
namespace {

constexpr std::string_view version_header = "x-version";
constexpr std::string_view lease_header = "x-lease";

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_too_large = 413;
constexpr int status_too_many_requests = 429;

store_status to_store_status(int http_status)
{
    switch (http_status) {
    case status_ok:
        return store_status::ok;
    case status_not_found:
        return store_status::absent;
    case status_conflict:
        return store_status::conflict;
    case status_bad_request:
    case status_too_large:
    case status_too_many_requests:
        return store_status::refused;
    default:
        return store_status::unknown;
    }
}

/// Converts an HTTP answer. `number_header` names the header that holds the version or lease number; empty if
/// the call has none. A successful answer without that number is treated as broken.
store_answer to_store_answer(const http_answer& answer, std::string_view number_header)
{
    store_answer read;
    read.status = to_store_status(answer.status);
    read.version = number_header.empty() ? 0 : answer.number(number_header);
    if (read.status == store_status::ok && !number_header.empty() && read.version == 0) {
        return {};
    }
    if (read.status == store_status::ok || read.status == store_status::conflict) {
        read.value = answer.body;
    }
    return read;
}

std::string path_of(std::string_view key)
{
    return "/v1/kv/" + encode_path(key);
}

std::string milliseconds_of(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace

http_key_value_service::http_key_value_service(event_base* base, const endpoint_address& address,
                                               duration timeout)
    : client_{base, address}, timeout_{timeout}
{
    assert(timeout > duration::zero());
}

void http_key_value_service::send(const http_call& call, duration timeout, std::string_view number_header,
                                  callback done)
{
    ++call_count_;
    client_.send(call, timeout, [number_header, done = std::move(done)](const http_answer& answer) {
        done(to_store_answer(answer, number_header));
    });
}

void http_key_value_service::get(std::string_view key, callback done)
{
    send({http_method::get, path_of(key), ""}, timeout_, version_header, std::move(done));
}

void http_key_value_service::compare_and_swap(std::string_view key, std::uint64_t expected,
                                              std::string_view value, std::uint64_t lease, callback done)
{
    std::string target = path_of(key) + "?expect=" + std::to_string(expected);
    if (lease != 0) {
        target += "&lease=" + std::to_string(lease);
    }
    send({http_method::put, std::move(target), std::string{value}}, timeout_, version_header,
         std::move(done));
}

void http_key_value_service::remove(std::string_view key, std::uint64_t expected, callback done)
{
    send({http_method::remove, path_of(key) + "?expect=" + std::to_string(expected), ""}, timeout_, "",
         std::move(done));
}

void http_key_value_service::watch(std::string_view key, std::uint64_t known, duration timeout, callback done)
{
    const std::string target =
        path_of(key) + "?after=" + std::to_string(known) + "&wait_ms=" + milliseconds_of(timeout);
    send({http_method::get, target, ""}, timeout + timeout_, version_header, std::move(done));
}

void http_key_value_service::grant_lease(duration time_to_live, callback done)
{
    send({http_method::post, "/v1/leases?ttl_ms=" + milliseconds_of(time_to_live), ""}, timeout_,
         lease_header, std::move(done));
}

void http_key_value_service::keep_lease(std::uint64_t lease, callback done)
{
    send({http_method::put, "/v1/leases/" + std::to_string(lease), ""}, timeout_, "", std::move(done));
}

} // namespace hemlocknotch
