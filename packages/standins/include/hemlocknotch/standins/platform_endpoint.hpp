#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/standins/event_loop.hpp>
#include <hemlocknotch/standins/http_server.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

struct evhttp_connection;

namespace hemlocknotch::standins {

/// Faults of an endpoint that can be switched on.
struct platform_endpoint_faults {
    /// Requests are rejected as not executed.
    bool is_full = false;
    /// One of so many requests is rejected as not executed; 0: none is.
    unsigned requests_per_rejection = 0;
    /// The last rejection of a connection is written there once more, before the answer of the next request,
    /// which is executed.
    bool repeats_rejections = false;
    /// Such a copy, or the rejection itself, has no id.
    bool repeats_without_id = false;
    bool rejects_without_id = false;
    /// Requests are executed and their connection closed without an answer.
    bool loses_answers = false;
    /// Streams break off after so many events; 0: they do not.
    std::size_t breaks_after = 0;
    /// One of so many requests is executed and answered 500, with a body that names it; 0: none.
    std::size_t fails_each = 0;
    /// Status with which resumptions are answered, in place of a stream; 0: they are resumed.
    int resumption_status = 0;
    /// Values of the headers by which the endpoint states its limit, with rejections a pause, and that it
    /// leaves; empty: it does not.
    std::string stated_limit;
    std::string stated_pause;
    std::string stated_leaving;
    /// The endpoint crashes when it begins to answer a prompt with this part; empty: it does not.
    std::string crashing_part;
    /// Time between two events of a stream.
    duration event_interval = std::chrono::milliseconds{5};
};

/// Stand-in of one endpoint on the users' platform: streams events on `/stream/`, else answers with the
/// request's body. Rejects requests meant for another instance. One thread.
class platform_endpoint {
public:
    static constexpr std::size_t stream_events = 5;

    /// Listens at `address`. Throws std::runtime_error where it cannot. `base` must outlive it.
    platform_endpoint(event_base* base, const endpoint_address& address, std::string instance);

    platform_endpoint(const platform_endpoint&) = delete;
    platform_endpoint(platform_endpoint&&) = delete;
    platform_endpoint& operator=(const platform_endpoint&) = delete;
    platform_endpoint& operator=(platform_endpoint&&) = delete;
    ~platform_endpoint();

    [[nodiscard]] const endpoint_address& address() const { return server_.address(); }

    [[nodiscard]] const std::string& instance() const { return instance_; }

    /// Returns its registration for `service`.
    [[nodiscard]] std::string registration(const std::string& service,
                                           const std::string& state = "ready") const;

    /// Closes every connection and accepts no more until `listen`.
    void crash();

    /// Writes the last rejection of each connection once more, where no stream is in progress on it.
    void repeat_rejections();

    /// Listens at `address` after a crash. Throws std::runtime_error where it cannot.
    void listen(const endpoint_address& address) { server_.listen(address); }

    platform_endpoint_faults faults;
    /// Called with the id of each request that reaches the endpoint, if set.
    std::function<void(const std::string&)> arrived;
    /// Version of its software, which it registers.
    std::string version = "v1";
    /// Name of this start of the endpoint, which the answers carry that say that it leaves.
    std::string start_name;
    /// Body of requests that crash the endpoint when it begins to execute them; empty: none do.
    std::string crashing_body;
    /// Called with the id of the request, if set, when the endpoint has crashed on `crashing_body`.
    std::function<void(const std::string&)> crashed;
    /// Requests that have arrived, also those that it rejects.
    std::uint64_t requests = 0;
    /// Called with id and body of each answer that `faults.fails_each` gives, if set.
    std::function<void(const std::string&, const std::string&)> failed;
    /// Executions by request id.
    std::map<std::string, unsigned> executions;
    /// Client account that the last request was executed for.
    std::string last_account;
    /// Whether a caller's key has ever come through.
    bool has_seen_key = false;

private:
    struct stream;

    void on_request(const http_request& request);
    void fail(const http_request& request, const std::string& id) const;
    void reject(const http_request& request, int status, const std::string& id);
    /// Writes the last rejection of the connection once more, if there was one.
    void repeat_rejection(evhttp_connection* connection) const;
    void forget_connection(evhttp_connection* connection);
    void start_stream(const http_request& request);
    void add_announcements(const http_request& request) const;

    event_base* base_;
    std::string instance_;
    std::size_t failable_requests_ = 0;
    std::list<std::unique_ptr<stream>> streams_;
    /// The id of the last rejection of each connection that has carried one and no stream since.
    std::map<evhttp_connection*, std::string> rejected_ids_;
    unsigned rejectable_requests_ = 0;
    http_server server_;
};

} // namespace hemlocknotch::standins
