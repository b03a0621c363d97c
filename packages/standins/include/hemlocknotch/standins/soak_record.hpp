#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace hemlocknotch::standins {

/// Kinds of requests in a soak.
enum class soak_request_kind : std::uint8_t { safe, unsafe, stream };

/// A request of a soak.
struct soak_request {
    soak_request_kind kind = soak_request_kind::safe;
    std::string gateway;
    /// Sent with the key that configurations add and remove.
    bool has_second_key = false;
    instant sent_at;
    /// The gateway was not disturbed for long enough before the request was sent.
    bool is_gateway_in_touch = false;
    /// The same, but the store may have been disturbed.
    bool is_gateway_undisturbed = false;
    /// The answer states that the request has not run and will not.
    bool is_answered_not_run = false;
};

/// What a soak has seen of requests and configurations, and the promises checked against it. No I/O and no
/// clock. One thread.
class soak_record {
public:
    /// Changes of the configuration must be in force `bound` after their acknowledgement.
    explicit soak_record(duration bound) : bound_{bound} {}

    /// Records that the store has acknowledged a configuration.
    void note_configuration(bool has_second_key, instant now);

    /// Records a request. Returns its id.
    std::string add(const soak_request& request);

    /// Checks a complete answer against what was promised. `expected_body` is that of a success.
    void check_answer(const std::string& id, int status, const std::string& body,
                      const std::string& expected_body);

    /// Records that an endpoint has answered the request with a failure.
    void note_failure(const std::string& id, int status, const std::string& body);
    /// Checks what a caller has of the body of a success that broke off.
    void check_partial_body(const std::string& id, const std::string& body, const std::string& expected_body);

    /// Records that the request `id`, one of those that crash endpoints, has crashed another one.
    void note_crash(const std::string& id, instant now);

    /// Records that a gateway has passed on that an endpoint leaves. `endpoint` names one start of it.
    void note_leaving(const std::string& gateway, const std::string& endpoint, instant now);
    /// Forgets what a gateway has passed on, which may not know it any more.
    void forget_leaving(const std::string& gateway);
    /// Checks that the request `id` may reach an endpoint. `endpoint` names one start of it.
    void check_arrival(const std::string& id, const std::string& endpoint);

    /// Checks how often each request was executed. `executions` are counts by request id.
    void check_executions(const std::map<std::string, unsigned>& executions);

    /// Records a broken promise.
    void add_violation(const std::string& text) { violations_.push_back(text); }

    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }

    /// Returns the number of complete answers by status.
    [[nodiscard]] const std::map<int, std::uint64_t>& answers() const { return answers_; }

private:
    struct configuration {
        bool has_second_key = true;
        instant acknowledged_at;
    };

    /// Returns whether each configuration that may be in force for a request sent at `at` has the second key,
    /// or lacks it.
    [[nodiscard]] bool do_all_have_key(bool has_second_key, instant at) const;
    void check_failure(const std::string& id, const std::string& gateway, int status,
                       const std::string& body);
    void check_configuration(const std::string& id, const soak_request& request, int status);

    duration bound_;
    std::vector<configuration> configurations_;
    std::map<std::string, soak_request> requests_;
    std::map<int, std::uint64_t> answers_;
    /// Status and body of the failures that endpoints gave, by request.
    std::multimap<std::string, std::pair<int, std::string>> failures_;
    std::vector<instant> crashes_;
    unsigned late_crashes_ = 0;
    /// By gateway and start of an endpoint: when the gateway first passed on that it leaves.
    std::map<std::string, std::map<std::string, instant>> leaving_;
    std::vector<std::string> violations_;
};

} // namespace hemlocknotch::standins
