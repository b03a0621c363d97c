#include <hemlocknotch/standins/load_metrics.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <functional>
#include <numeric>

namespace hemlocknotch::standins {
namespace {

constexpr double seconds_per_minute = 60.0;
/// An account that is backlogged for this share of the run counts in Jain's index.
constexpr double backlogged_share = 0.9;
constexpr double high_percentile = 0.95;

std::vector<double> weights_of(const deployment_mix& mix)
{
    std::vector<double> weights;
    for (const account_mix& it : mix.accounts) {
        weights.push_back(it.weight);
    }
    return weights;
}

double seconds(duration time)
{
    return std::chrono::duration<double>{time}.count();
}

double milliseconds(duration time)
{
    return std::chrono::duration<double, std::milli>{time}.count();
}

double rounded(double value)
{
    constexpr double steps = 10000.0;
    return std::round(value * steps) / steps;
}

/// Returns a time of each record that `pick` gives one for, in milliseconds after it was sent.
std::vector<double> times_of(const std::vector<load_record>& records,
                             const std::function<std::optional<duration>(const load_record&)>& pick)
{
    std::vector<double> found;
    for (const load_record& it : records) {
        if (const auto time = pick(it)) {
            found.push_back(milliseconds(*time - it.sent));
        }
    }
    return found;
}

} // namespace

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    const auto place = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(place, values.size() - 1)];
}

load_metrics::load_metrics(const deployment_mix& mix, const load_window& window)
    : fairness_{weights_of(mix)}, window_{window}
{
    assert(window.begin < window.end);
    for (const account_mix& it : mix.accounts) {
        index_[it.account] = accounts_.size();
        accounts_.push_back({it.account, it.weight, 0, duration::zero(), duration::zero()});
    }
}

std::size_t load_metrics::index_of(std::string_view account) const
{
    const auto it = index_.find(account);
    assert(it != index_.end());
    return it->second;
}

void load_metrics::set_backlogged(std::size_t account, bool is_backlogged, duration at)
{
    account_state& state = accounts_[account];
    if (is_backlogged) {
        state.backlogged_since = at;
    }
    else {
        state.backlogged_time += std::min(at, window_.end) - std::min(state.backlogged_since, window_.end);
    }
    fairness_.set_backlogged(account, is_backlogged);
}

void load_metrics::on_sent(std::string_view account, duration at)
{
    if (at >= window_.end) {
        return;
    }
    account_state& state = accounts_[index_of(account)];
    waiting_since_.insert(at);
    if (state.waiting++ == 0) {
        set_backlogged(index_of(account), true, at);
    }
}

void load_metrics::on_not_waiting(std::string_view account, duration sent, duration at)
{
    if (sent >= window_.end) {
        return;
    }
    account_state& state = accounts_[index_of(account)];
    waiting_since_.erase(waiting_since_.find(sent));
    if (--state.waiting == 0) {
        set_backlogged(index_of(account), false, at);
    }
}

void load_metrics::on_service(std::string_view account, double units, duration at)
{
    if (at >= window_.end) {
        return;
    }
    units_ += units;
    fairness_.add_service(index_of(account), units);
}

void load_metrics::on_engine_sample(double running, double capacity, duration at)
{
    const bool is_outside = at < window_.begin || at >= window_.end;
    if (is_outside || waiting_since_.empty() || *waiting_since_.begin() + waiting_threshold > at) {
        return;
    }
    const double room = std::floor(capacity);
    room_ += room;
    used_room_ += std::min(running, room);
}

double load_metrics::fair_share_of_a_minute() const
{
    const double weights =
        std::accumulate(accounts_.begin(), accounts_.end(), 0.0,
                        [](double sum, const account_state& it) { return sum + it.weight; });
    return units_ / seconds(window_.end) * seconds_per_minute / weights;
}

std::vector<double> load_metrics::shares_of_backlogged() const
{
    std::vector<double> shares;
    for (std::size_t i = 0; i < accounts_.size(); ++i) {
        const account_state& it = accounts_[i];
        const duration running =
            it.waiting > 0 ? window_.end - std::min(it.backlogged_since, window_.end) : duration::zero();
        if (seconds(it.backlogged_time + running) >= backlogged_share * seconds(window_.end)) {
            shares.push_back(fairness_.weighted_service(i));
        }
    }
    return shares;
}

nlohmann::json load_metrics::accounts_summary(const std::vector<load_record>& records) const
{
    nlohmann::json summary = nlohmann::json::object();
    for (std::size_t i = 0; i < accounts_.size(); ++i) {
        std::vector<load_record> own;
        std::copy_if(records.begin(), records.end(), std::back_inserter(own),
                     [&](const load_record& it) { return it.is_model && it.account == accounts_[i].name; });
        const auto waits = times_of(own, [](const load_record& it) { return it.head; });
        const auto refused = std::count_if(own.begin(), own.end(), [](const load_record& it) {
            return it.outcome == load_outcome::not_run;
        });
        summary[accounts_[i].name] = {{"weight", accounts_[i].weight},
                                      {"service_over_weight", rounded(fairness_.weighted_service(i))},
                                      {"requests", own.size()},
                                      {"refused_not_run", refused},
                                      {"wait_p95_ms", rounded(percentile(waits, high_percentile))}};
    }
    return summary;
}

nlohmann::json load_metrics::summary(const std::vector<load_record>& records) const
{
    std::map<std::string, std::size_t> outcomes;
    std::map<std::string, std::size_t> codes;
    for (const load_record& it : records) {
        ++outcomes[std::string{to_string(it.outcome)}];
        if (!it.code.empty()) {
            ++codes[it.code];
        }
    }
    const auto first_bytes = times_of(records, [](const load_record& it) {
        return it.is_model && it.outcome != load_outcome::not_run ? it.first_byte : std::nullopt;
    });
    const std::vector<double> shares = shares_of_backlogged();
    const double share = fair_share_of_a_minute();
    return {{"fairness_gap", rounded(share > 0 ? fairness_.largest_gap() / share : 0.0)},
            {"fairness_gap_units", rounded(fairness_.largest_gap())},
            {"fair_share_60s_units", rounded(share)},
            {"jain", rounded(jain_index(shares))},
            {"jain_accounts", shares.size()},
            {"utilisation", rounded(room_ > 0 ? used_room_ / room_ : 1.0)},
            {"units_per_second", rounded(units_ / seconds(window_.end))},
            {"requests", records.size()},
            {"refused_not_run", outcomes["not-run"]},
            {"may_have_run", outcomes["may-have-run"]},
            {"whole_answers", outcomes["whole"]},
            {"short_answers", outcomes["short-answer"]},
            {"wrong_answers", outcomes["wrong-answer"]},
            {"cut_requests", outcomes["cut"] + outcomes["no-answer"]},
            {"endpoint_errors", outcomes["endpoint-error"]},
            {"withdrawn", outcomes["withdrawn"]},
            {"unfinished", outcomes["unfinished"]},
            {"refusal_codes", codes},
            {"ttft_p50_ms", rounded(percentile(first_bytes, 0.5))},
            {"ttft_p95_ms", rounded(percentile(first_bytes, high_percentile))},
            {"accounts", accounts_summary(records)}};
}

} // namespace hemlocknotch::standins
