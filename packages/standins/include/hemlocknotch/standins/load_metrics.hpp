#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/standins/fairness_meter.hpp>
#include <hemlocknotch/standins/load_outcome.hpp>
#include <hemlocknotch/standins/trace_generator.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlocknotch::standins {

/// When a run's figures are taken: from its start to `end`, the utilisation from `begin`, so that what was
/// started has found its pace.
struct load_window {
    duration begin{};
    duration end{};
};

/// Figures of one run of the load, over a window. An account counts as
/// backlogged while it has a request to the model service that was sent and whose answer's head has not come.
/// Not thread-safe; time comes from the caller and never goes back.
class load_metrics {
public:
    /// Makes empty figures for the accounts and weights of `mix`. Precondition: the window ends after it
    /// begins.
    load_metrics(const deployment_mix& mix, const load_window& window);

    /// Notes that a request to the model service was sent at `at`.
    void on_sent(std::string_view account, duration at);

    /// Notes that such a request waits no longer: its head has come, or it has ended without one. `sent` is
    /// when it was sent.
    void on_not_waiting(std::string_view account, duration sent, duration at);

    /// Notes `units` of model service delivered at `at`.
    void on_service(std::string_view account, double units, duration at);

    /// Notes what an engine did at `at`: requests running and capacity. Counts while any request has waited
    /// longer than `waiting_threshold`.
    void on_engine_sample(double running, double capacity, duration at);

    /// A shorter wait does not count as waiting for room: it is the way to the engine and back.
    static constexpr duration waiting_threshold = std::chrono::milliseconds{250};

    /// Returns the figures, with those of `records`.
    [[nodiscard]] nlohmann::json summary(const std::vector<load_record>& records) const;

private:
    struct account_state {
        std::string name;
        double weight = 1.0;
        std::size_t waiting = 0;
        duration backlogged_since{};
        duration backlogged_time{};
    };

    void set_backlogged(std::size_t account, bool is_backlogged, duration at);
    void begin_window(duration at);

    [[nodiscard]] duration window_length() const { return window_.end - window_.begin; }

    [[nodiscard]] std::size_t index_of(std::string_view account) const;
    [[nodiscard]] double fair_share_of_a_minute() const;
    [[nodiscard]] std::vector<double> shares_of_backlogged() const;
    [[nodiscard]] nlohmann::json accounts_summary(const std::vector<load_record>& records) const;

    std::vector<account_state> accounts_;
    std::map<std::string, std::size_t, std::less<>> index_;
    fairness_meter fairness_;
    load_window window_;
    double units_ = 0.0;
    std::multiset<duration> waiting_since_;
    double used_room_ = 0.0;
    double room_ = 0.0;
};

/// Returns the value below which `share` of `values` lie, 0 for none.
double percentile(std::vector<double> values, double share);

} // namespace hemlocknotch::standins
