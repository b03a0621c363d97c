#pragma once

#include <hemlocknotch/standins/endless_endpoint.hpp>
#include <hemlocknotch/standins/event_loop.hpp>
#include <hemlocknotch/standins/kept_connection_caller.hpp>
#include <hemlocknotch/standins/platform_endpoint.hpp>
#include <hemlocknotch/standins/platform_store.hpp>
#include <hemlocknotch/standins/relay_route.hpp>
#include <hemlocknotch/standins/scripted_endpoint.hpp>
#include <hemlocknotch/standins/soak_endpoint.hpp>
#include <hemlocknotch/standins/soak_gateway.hpp>
#include <hemlocknotch/standins/soak_record.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::standins {

/// Size and limits of a soak.
struct soak_options {
    std::uint64_t seed = 1;
    int gateways = 4;
    /// Callers of each gateway.
    int callers = 4;
    /// Time for which faults are injected.
    duration faults_for = std::chrono::seconds{20};
    /// Time within which a change of the configuration must be in force.
    duration bound = std::chrono::seconds{2};
};

/// Runs gateways as separate processes against a store and endpoints of its own, injects faults by signals,
/// relays and the stand-ins' switches, and checks the promises from what callers and endpoints see. Faults
/// come in series and overlap. One thread.
class gateway_soak {
public:
    /// Throws std::runtime_error where a process or listener cannot be started.
    gateway_soak(const soak_options& options, const soak_paths& paths);
    ~gateway_soak();
    gateway_soak(const gateway_soak&) = delete;
    gateway_soak& operator=(const gateway_soak&) = delete;
    gateway_soak(gateway_soak&&) = delete;
    gateway_soak& operator=(gateway_soak&&) = delete;

    /// Runs to the end. Returns what was promised and not kept.
    const std::vector<std::string>& run();

    [[nodiscard]] const soak_record& record() const { return record_; }

    /// Returns the number of faults that were injected.
    [[nodiscard]] int fault_count() const { return fault_count_; }

private:
    struct caller_state;

    /// Body of the request that crashes endpoints.
    static constexpr std::string_view crashing_body = "crash";
    /// Longest time of a request, which is longer than a planned stop.
    static constexpr std::chrono::seconds patient_timeout{12};

    enum class stage : std::uint8_t { starting, faulty, healing, checking, stopping, done };

    void advance();
    void enter(stage next);
    /// Injects the faults that are drawn for one step, and undoes those that are due.
    void inject_faults();
    void inject_fault();
    void inject_process_fault(soak_gateway& it);
    void inject_link_fault();
    void inject_store_fault();
    void inject_endpoint_fault();
    void change_configuration();
    /// Takes a copy of the store, restores it later, and lets its writers write again after a while.
    void begin_restore();
    void restore_store();
    /// Registers an endpoint whose answers never end, for a while.
    void add_endless_endpoint();
    /// Lets an endpoint state a limit of requests, or reject them with a pause.
    void add_announcement();
    /// Lets the endpoints crash on one request, which callers send again and again, and start anew.
    void add_crashing_request();
    /// Lets an endpoint say that it leaves, end, and start anew.
    void begin_leaving();
    /// Draws whether endpoints fail requests, fail resumptions, or answer each request twice, for a while.
    void add_failing_answers();
    void fail_requests();
    void fail_resumptions();
    void add_repeating_endpoint();
    scripted_answer answer_twice(const scripted_request& request);
    void undo_failing(std::function<void()> undo);
    /// Now and then resets connections of endpoints, callers and the store, once or in a series, beside
    /// endpoints of models that fail a part of their requests.
    void add_resets();
    void reset_connections();
    /// Now and then registers an endpoint of the plain service that answers nothing, for a while.
    void add_mute_endpoint();
    /// Sends a request at once, or its last bytes later.
    void send_bytes(caller_state& it, const std::string& request, duration timeout);
    /// Checks that a request was not cut without an answer once an endpoint had received it.
    void check_cut(const caller_state& it, const kept_connection_answer& answer);
    /// Lets an endpoint reject some requests and write the rejections once more on their connections.
    void add_repeated_answers();
    /// Now and then writes an entry that names no endpoint to use, under a new name or over that of a sound
    /// endpoint.
    void add_odd_entries();
    /// Returns an odd form of the entry `sound`.
    std::string draw_odd_value(const std::string& sound);
    /// Draws whether the plain service is to move to another version of its software, and how bad that one
    /// is.
    void plan_rollout();
    /// Orders the roll-out where it is due.
    void order_rollout();
    void register_new_version();
    /// Checks that a bad version got no more than its share, and was not completed.
    void check_rollout();
    /// Returns the number of requests that the endpoints of the plain service have got.
    [[nodiscard]] std::uint64_t plain_requests() const;
    /// Starts an endpoint that has ended after a random time, and at the end of the faults.
    void restart_later(soak_endpoint& it);
    /// Records what the head of an answer that `gateway` has passed on says of leaving.
    void note_leaving(const std::string& gateway, const std::string& head);
    void write_heartbeats();
    void register_endpoint(const soak_endpoint& it);
    /// Undoes a fault after a random time, and at the end of the faults.
    void undo_later(std::function<void()> undo);
    /// Undoes a fault at `at`, or at the end of the faults if that is earlier.
    void undo_at(instant at, std::function<void()> undo);
    void heal();
    void restart_ended();
    void send_request(caller_state& it);
    void handle_answer(caller_state& it, const kept_connection_answer& answer);
    [[nodiscard]] bool is_in_touch(soak_gateway& it) const;
    [[nodiscard]] bool is_every_gateway_back() const;
    void check_exit_codes();
    void check_logs();
    void check_executions();
    int draw(int n);
    /// Draws for the faults that were added later, so that the seeds that once failed keep their other
    /// faults.
    int draw_further(int n);
    /// Returns a random number below `n` for announcements of endpoints; leaves the other draws of a seed as
    /// they are.
    int draw_announcement(int n);
    /// The same for endpoints that crash or leave.
    int draw_ending(int n);
    /// The same for endpoints that fail, or answer twice.
    int draw_failing(int n);
    /// The same for endpoints that repeat answers.
    int draw_repeated(int n);
    /// The same for odd entries.
    int draw_odd(int n);
    /// The same for resets and for requests that are sent slowly.
    int draw_reset(int n);
    /// The same for roll-outs.
    int draw_rollout(int n);
    soak_gateway& draw_gateway();

    soak_options options_;
    std::minstd_rand random_;
    std::minstd_rand further_random_;
    std::minstd_rand announcement_random_;
    std::minstd_rand ending_random_;
    std::minstd_rand failing_random_;
    std::minstd_rand repeated_random_;
    std::minstd_rand odd_entry_random_;
    std::minstd_rand reset_random_;
    std::minstd_rand rollout_random_;
    event_loop loop_;
    platform_store store_;
    soak_record record_;
    std::vector<std::unique_ptr<soak_endpoint>> endpoints_;
    /// Endpoints whose answers never end, one of each service; registered only now and then.
    endless_endpoint endless_model_;
    endless_endpoint endless_plain_;
    /// Number of their registrations so far, each of which is a new instance.
    int endless_registrations_ = 0;

    /// What the endpoints that answer twice answer.
    struct repeated_answer {
        bool is_failure = false;
        bool has_id = true;
        duration delay{};
    };

    repeated_answer repeated_;
    scripted_endpoint repeating_model_;
    scripted_endpoint repeating_plain_;
    int repeating_registrations_ = 0;
    /// Endpoint that takes requests and answers nothing.
    scripted_endpoint mute_;
    int mute_registrations_ = 0;
    /// Endpoint whose address only odd entries have.
    platform_endpoint unnamed_endpoint_;
    /// Endpoints of the version that the plain service moves to.
    std::vector<std::unique_ptr<platform_endpoint>> new_endpoints_;
    bool is_new_version_bad_ = false;
    /// Time from the first fault to the order.
    duration rollout_at_ = duration::max();
    bool is_rollout_ordered_ = false;
    std::uint64_t requests_before_rollout_ = 0;
    /// Number of odd entries under new names so far.
    int odd_registrations_ = 0;
    /// Kind of the request that crashes endpoints, if there is one.
    std::optional<soak_request_kind> crashing_kind_;
    bool is_restoring_ = false;
    instant heartbeats_at_{};
    std::vector<std::unique_ptr<soak_gateway>> gateways_;
    std::vector<std::unique_ptr<caller_state>> callers_;
    std::list<std::pair<instant, std::function<void()>>> undos_;
    timer step_;
    stage stage_ = stage::starting;
    instant stage_began_at_{};
    /// Last time at which no gateway could be sure of the store.
    instant store_disturbed_at_{};
    std::uint64_t version_ = 1;
    bool has_second_key_ = true;
    int fault_count_ = 0;
};

} // namespace hemlocknotch::standins
