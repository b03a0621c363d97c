#include "load_source.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <utility>

namespace hemlocknotch::gateway::model {
namespace {

/// Standard deviation of the logarithm of the error of the callers' estimates.
constexpr double hint_spread = 0.5;

/// Returns the id of shared part `rank` of `level`, the same in each run.
std::uint64_t part_id(std::size_t profile, std::size_t level, std::size_t rank)
{
    const std::array<std::uint64_t, 3> key{profile, level, rank};
    return XXH64(key.data(), sizeof key, 0);
}

} // namespace

load_source::load_source(std::vector<request_profile> profiles, const load_options& options)
    : profiles_{std::move(profiles)}, options_{options}, random_{options.seed}
{
    for (std::size_t n = 0; n < options.accounts; ++n) {
        const auto weight = std::pow(static_cast<double>(n + 1), -options.account_skew);
        const auto& factors = options.account_factors;
        account_weights_.push_back(weight * (n < factors.size() ? factors[n] : 1.0));
        usual_weight_ += weight;
    }
}

duration load_source::next(duration passed, drawn_request& out)
{
    const auto is_middle = passed > options_.length / 3 && passed < options_.length * 2 / 3;
    auto weights = account_weights_;
    weights.front() *= is_middle ? options_.hot_account : 1.0;
    const auto load_factor = std::accumulate(weights.begin(), weights.end(), 0.0) / usual_weight_;
    std::vector<double> rates;
    double total = 0.0;
    for (const auto& it : profiles_) {
        rates.push_back(it.per_second * options_.load * load_factor);
        total += rates.back();
    }
    out.profile = std::discrete_distribution<std::size_t>{rates.begin(), rates.end()}(random_);
    out.account = std::discrete_distribution<std::size_t>{weights.begin(), weights.end()}(random_);
    const auto& profile = profiles_[out.profile];
    out.prompt.clear();
    const auto is_hot = is_middle && std::bernoulli_distribution{options_.hot_part}(random_);
    for (std::size_t level = 0; level < profile.shared.size(); ++level) {
        const auto& it = profile.shared[level];
        const auto rank = is_hot ? 0 : draw_rank(it.count, it.skew);
        // The length is a property of the part, so it is drawn with the id of the part as seed.
        const auto id = part_id(out.profile, level, rank);
        load_source lengths{{}, {.seed = id, .accounts = 0}};
        out.prompt.push_back({id, static_cast<std::uint64_t>(lengths.draw_length(it.tokens))});
    }
    out.prompt.push_back({~++last_own_part_, static_cast<std::uint64_t>(draw_length(profile.own_tokens))});
    out.output_tokens = static_cast<unsigned>(draw_length(profile.events)) * options_.event_tokens;
    out.output_hint = static_cast<unsigned>(
        std::max(1.0, out.output_tokens * std::lognormal_distribution<double>{0.0, hint_spread}(random_)));
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{std::exponential_distribution<double>{total}(random_)});
}

double load_source::draw_length(const length_spread& spread)
{
    const auto mu = std::log(spread.mean) - spread.spread * spread.spread / 2.0;
    const auto drawn = std::lognormal_distribution<double>{mu, spread.spread}(random_);
    return std::clamp(std::round(drawn), 1.0, spread.longest);
}

std::size_t load_source::draw_rank(std::size_t count, double skew)
{
    // Inverse of the continuous form of a Zipf distribution with an exponent below 1.
    const auto place = std::uniform_real_distribution<double>{}(random_);
    const auto rank = static_cast<double>(count) * std::pow(place, 1.0 / (1.0 - skew));
    return std::min(count - 1, static_cast<std::size_t>(rank));
}

} // namespace hemlocknotch::gateway::model
