#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/standins/connection_listener.hpp>
#include <hemlocknotch/standins/event_loop.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hemlocknotch::standins {

/// A request as a `scripted_endpoint` has read it.
struct scripted_request {
    std::string id;
    std::string path;
    std::string body;
    /// Number of the last event that the caller has; 0 where the request is no resumption.
    std::size_t last_event = 0;
};

/// Bytes of an answer, and the time that passes before they are sent.
struct scripted_part {
    std::string bytes;
    duration wait{};
};

/// What happens to the connection after the last part of an answer.
enum class scripted_end : std::uint8_t { keep, close, reset };

/// Bytes sent after a request. Parts that are left when the next request arrives are sent at once, ahead of
/// its answer.
struct scripted_answer {
    std::vector<scripted_part> parts;
    scripted_end end = scripted_end::keep;
};

/// Stand-in of a server whose answers are given byte for byte, on connections that are kept. One thread.
class scripted_endpoint {
public:
    using script = std::function<scripted_answer(const scripted_request& request)>;

    /// Listens at `address` and answers each request as `answer` says; a request counts as executed before.
    /// Throws std::runtime_error where it cannot listen. `base` must outlive it.
    scripted_endpoint(event_base* base, const endpoint_address& address, script answer);
    ~scripted_endpoint();
    scripted_endpoint(const scripted_endpoint&) = delete;
    scripted_endpoint(scripted_endpoint&&) = delete;
    scripted_endpoint& operator=(const scripted_endpoint&) = delete;
    scripted_endpoint& operator=(scripted_endpoint&&) = delete;

    [[nodiscard]] const endpoint_address& address() const { return listener_.address(); }

    /// Requests by id, each of which counts as executed.
    std::map<std::string, unsigned> executions;

private:
    struct connection;

    void remove(const connection* it);

    event_base* base_;
    script answer_;
    std::list<std::unique_ptr<connection>> connections_;
    connection_listener listener_;
};

} // namespace hemlocknotch::standins
