#include <hemlocknotch/gateway/rollout_judge.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>
#include <string_view>

namespace hemlocknotch::gateway {
namespace {

/// Answers, one of them bad, that are added to what was counted, so that few answers prove little: a share of
/// 0.05 is assumed where nothing was counted.
constexpr double prior_answers = 20.0;
constexpr double prior_bad = 1.0;
/// Bounds of the share of bad answers that the present version is taken to have.
constexpr double min_share = 0.01;
constexpr double max_share = 0.95;

double smoothed_share(const answer_counts& it)
{
    return (static_cast<double>(it.bad) + prior_bad) / (static_cast<double>(it.answers) + prior_answers);
}

double mixture_of(std::span<const double> logs)
{
    const auto top = std::ranges::max(logs);
    double sum = 0.0;
    for (const auto it : logs) {
        sum += std::exp(it - top);
    }
    return top + std::log(sum / static_cast<double>(logs.size()));
}

} // namespace

void rollout_judge::update(const rollout_evidence& total, instant now)
{
    if (now >= next_test_) {
        next_test_ = now + test_interval;
        beginnings_.push_back(ratios_);
        if (beginnings_.size() > max_tests) {
            beginnings_.pop_front();
        }
    }
    slice added{now, {}};
    for (const auto& [key, counts] : total.reference) {
        const auto difference = counts - seen_.reference[key];
        if (difference != answer_counts{}) {
            added.reference.emplace(key, difference);
        }
    }
    recent_.push_back(std::move(added));
    while (now - recent_.front().at > recent_time) {
        recent_.pop_front();
    }
    seen_.reference = total.reference;
    for (const auto& [key, counts] : total.candidate) {
        const auto difference = counts - seen_.candidate[key];
        if (difference != answer_counts{}) {
            weigh(key, difference);
        }
    }
    seen_.candidate = total.candidate;
    evidence_ = 0.0;
    for (const auto& it : beginnings_) {
        evidence_ = std::max(evidence_, evidence_since(it));
    }
}

double rollout_judge::expected_share(const candidate_key& key) const
{
    answer_counts recent;
    answer_counts recent_domain;
    answer_counts latest_domain;
    for (const auto& it : recent_) {
        for (const auto& [reference, counts] : it.reference) {
            if (reference.failure_domain == key.failure_domain) {
                recent_domain += counts;
                if (reference.route == key.route) {
                    recent += counts;
                }
                if (&it == &recent_.back()) {
                    latest_domain += counts;
                }
            }
        }
    }
    answer_counts route;
    answer_counts same;
    for (const auto& [reference, counts] : seen_.reference) {
        if (reference.route == key.route) {
            route += counts;
            if (reference.failure_domain == key.failure_domain) {
                same += counts;
            }
        }
    }
    // The latest slice shows trouble of both versions that has just begun.
    const auto share = std::max({smoothed_share(latest_domain), smoothed_share(recent),
                                 smoothed_share(recent_domain), smoothed_share(route), smoothed_share(same)});
    return std::clamp(share, min_share, max_share);
}

void rollout_judge::weigh(const candidate_key& key, const answer_counts& counts)
{
    const auto expected = expected_share(key);
    const auto bad = static_cast<double>(counts.bad);
    // Negative where an answer that had begun well broke off later.
    const auto good = static_cast<double>(counts.answers - counts.bad);
    const auto tolerated = static_cast<double>(counts.answers) * tolerated_share(expected);
    excess_bad_ = std::max(0.0, excess_bad_ + bad - tolerated);
    auto& ratios = ratios_[key.route][key.instance];
    for (std::size_t n = 0; n < alternatives.size(); ++n) {
        const auto assumed = expected + alternatives[n] * (1.0 - expected);
        ratios[n] += bad * std::log(assumed / expected) + good * std::log((1.0 - assumed) / (1.0 - expected));
    }
}

double rollout_judge::trimmed(std::span<const log_ratios> endpoints)
{
    const auto left_out =
        endpoints.size() < 2
            ? std::size_t{0}
            : static_cast<std::size_t>(std::ceil(static_cast<double>(endpoints.size()) * left_out_share));
    log_ratios sums{};
    for (std::size_t n = 0; n < sums.size(); ++n) {
        std::vector<double> values;
        values.reserve(endpoints.size());
        for (const auto& it : endpoints) {
            values.push_back(it[n]);
        }
        std::ranges::sort(values);
        for (std::size_t i = 0; i + left_out < values.size(); ++i) {
            sums[n] += values[i];
        }
    }
    return mixture_of(sums);
}

double rollout_judge::evidence_since(const ratio_table& begin) const
{
    auto out = 0.0;
    std::map<std::string_view, log_ratios> by_endpoint;
    for (const auto& [route, endpoints] : ratios_) {
        const auto route_begin = begin.find(route);
        std::vector<log_ratios> of_route;
        for (const auto& [instance, ratios] : endpoints) {
            auto difference = ratios;
            if (route_begin != begin.end()) {
                if (const auto it = route_begin->second.find(instance); it != route_begin->second.end()) {
                    std::ranges::transform(ratios, it->second, difference.begin(), std::minus{});
                }
            }
            of_route.push_back(difference);
            auto& sum = by_endpoint[instance];
            std::ranges::transform(sum, difference, sum.begin(), std::plus{});
        }
        out = std::max(out, trimmed(of_route));
    }
    std::vector<log_ratios> all;
    all.reserve(by_endpoint.size());
    for (const auto& [instance, ratios] : by_endpoint) {
        all.push_back(ratios);
    }
    return all.empty() ? out : std::max(out, trimmed(all));
}

bool rollout_judge::has_enough_answers() const
{
    std::map<std::string_view, answer_counts> routes;
    std::map<std::string_view, answer_counts> candidates;
    answer_counts all;
    for (const auto& [key, counts] : seen_.reference) {
        routes[key.route] += counts;
        all += counts;
    }
    answer_counts candidate;
    for (const auto& [key, counts] : seen_.candidate) {
        candidates[key.route] += counts;
        candidate += counts;
    }
    if (candidate.answers < min_answers) {
        return false;
    }
    return std::ranges::all_of(routes, [&](const auto& it) {
        const auto is_common =
            static_cast<double>(it.second.answers) >= common_share * static_cast<double>(all.answers);
        return !is_common || candidates[it.first].answers >= min_route_answers;
    });
}

rollout_verdict rollout_judge::verdict() const
{
    if (evidence_ >= bad_threshold || excess_bad_ >= max_excess_bad) {
        return rollout_verdict::bad;
    }
    return evidence_ < doubt_threshold && has_enough_answers() ? rollout_verdict::sound
                                                               : rollout_verdict::undecided;
}

} // namespace hemlocknotch::gateway
