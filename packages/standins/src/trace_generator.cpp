#include <hemlocknotch/standins/trace_generator.hpp>

#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace hemlocknotch::standins {
namespace {

/// A share of requests has a hint, which is off by a lognormal factor.
constexpr double hint_share = 0.6;
constexpr double hint_sigma = 0.7;
constexpr double size_sigma = 0.8;
constexpr double max_size = 16384.0;
/// Prompts begin with one of a few texts of their account.
constexpr double prefix_share = 0.5;
constexpr unsigned prefixes_per_account = 3;

/// Draws the records of one account for one service.
class account_source {
public:
    account_source(boost::random::mt19937_64& random, const account_mix& account,
                   const std::vector<profile_mix>& work, bool is_model)
        : random_{random}, account_{account}, work_{work}, is_model_{is_model}, pick_{shares(work)}
    {
    }

    void draw(double rate, duration length, std::vector<trace_record>& records)
    {
        if (rate <= 0) {
            return;
        }
        boost::random::exponential_distribution<double> gap{rate};
        const std::chrono::duration<double> end = length;
        for (double time = gap(random_); time < end.count(); time += gap(random_)) {
            records.push_back(record_at(time));
        }
    }

private:
    static std::vector<double> shares(const std::vector<profile_mix>& work)
    {
        std::vector<double> found;
        std::transform(work.begin(), work.end(), std::back_inserter(found),
                       [](const profile_mix& it) { return it.share; });
        return found;
    }

    trace_record record_at(double time)
    {
        const profile_mix& mix = work_[static_cast<std::size_t>(pick_(random_))];
        boost::random::lognormal_distribution<double> cost{std::log(mix.median_cost), mix.sigma};
        boost::random::lognormal_distribution<double> size{std::log(mix.median_size), size_sigma};
        boost::random::lognormal_distribution<double> error{0.0, hint_sigma};
        trace_record record;
        record.time = std::chrono::duration_cast<duration>(std::chrono::duration<double>{time});
        record.account = account_.account;
        record.profile = mix.profile;
        record.size = static_cast<std::uint64_t>(std::min(size(random_), max_size));
        record.true_cost = std::clamp(std::round(cost(random_)), 1.0, mix.max_cost);
        record.is_idempotent = mix.is_idempotent;
        if (is_model_ && chance(hint_share)) {
            record.cost_hint = std::max(1.0, std::round(record.true_cost * error(random_)));
        }
        if (chance(mix.key_share)) {
            record.key = account_.account + "-" + std::to_string(++last_key_);
        }
        if (is_model_ && chance(prefix_share)) {
            const auto n = static_cast<unsigned>(uniform_(random_) * prefixes_per_account);
            record.prefix = account_.account + "/" + std::to_string(n);
        }
        return record;
    }

    bool chance(double share) { return uniform_(random_) < share; }

    boost::random::mt19937_64& random_;
    const account_mix& account_;
    const std::vector<profile_mix>& work_;
    bool is_model_;
    boost::random::discrete_distribution<int, double> pick_;
    boost::random::uniform_01<double> uniform_;
    std::uint64_t last_key_ = 0;
};

/// Mean of a lognormal cost that is cut off from above.
double mean_cost(const profile_mix& mix)
{
    const double mu = std::log(mix.median_cost);
    const double limit = std::log(mix.max_cost);
    const auto below = [](double z) { return 0.5 * std::erfc(-z / std::sqrt(2.0)); };
    const double z = (limit - mu) / mix.sigma;
    const double body = std::exp(mu + mix.sigma * mix.sigma / 2) * below(z - mix.sigma);
    return body + mix.max_cost * (1.0 - below(z));
}

double mean_cost(const std::vector<profile_mix>& work)
{
    return std::accumulate(work.begin(), work.end(), 0.0,
                           [](double sum, const profile_mix& it) { return sum + it.share * mean_cost(it); });
}

/// The large accounts have the first places.
std::vector<account_mix> accounts_of(std::initializer_list<const char*> names, std::size_t large_count,
                                     double large_weight)
{
    std::vector<account_mix> accounts;
    for (const char* name : names) {
        accounts.push_back({name, accounts.size() < large_count ? large_weight : 1.0});
    }
    return accounts;
}

deployment_mix saadruil()
{
    deployment_mix mix;
    mix.name = "saadruil";
    mix.accounts = accounts_of({"township-north", "township-south", "farm-union", "plot-01", "plot-02",
                                "plot-03", "plot-04", "plot-05", "plot-06", "plot-07", "plot-08", "plot-09",
                                "plot-10", "plot-11", "plot-12", "plot-13"},
                               3, 3.0);
    mix.model_work = {{"planting-calendar", 0.3, 400, 0.5, 1000, true, 0.0, 2000},
                      {"pest-answer", 0.4, 80, 0.6, 400, true, 0.0, 300},
                      {"seed-label", 0.3, 20, 0.4, 100, true, 0.0, 100}};
    mix.model_units_per_second = 10800;
    mix.plain_work = {{"book-parcel", 0.4, 1, 0.01, 1, false, 0.3, 200},
                      {"check-stock", 0.6, 1, 0.01, 1, true, 0.0, 100}};
    mix.plain_requests_per_second = 20;
    return mix;
}

deployment_mix fassregister()
{
    deployment_mix mix;
    mix.name = "fassregister";
    mix.accounts = accounts_of({"customs-office", "cantonal-register", "jura-union", "distillery-01",
                                "distillery-02", "distillery-03", "distillery-04", "distillery-05",
                                "distillery-06", "distillery-07", "distillery-08", "distillery-09",
                                "distillery-10", "distillery-11", "distillery-12", "distillery-13"},
                               3, 3.0);
    mix.model_work = {{"cask-history", 0.2, 450, 0.5, 1000, true, 0.0, 4000},
                      {"label-draft", 0.4, 90, 0.5, 300, true, 0.0, 200},
                      {"classification", 0.4, 10, 0.4, 50, true, 0.0, 200}};
    mix.model_units_per_second = 5400;
    mix.plain_work = {{"record-transfer", 0.4, 1, 0.01, 1, false, 0.3, 300},
                      {"look-up", 0.6, 1, 0.01, 1, true, 0.0, 100}};
    mix.plain_requests_per_second = 20;
    return mix;
}

} // namespace

std::optional<deployment_mix> find_deployment(std::string_view name)
{
    if (name == "saadruil") {
        return saadruil();
    }
    if (name == "fassregister") {
        return fassregister();
    }
    return std::nullopt;
}

std::vector<trace_record> generate_trace(const deployment_mix& mix, const trace_options& options)
{
    boost::random::mt19937_64 random{options.seed};
    const double weights = std::accumulate(mix.accounts.begin(), mix.accounts.end(), 0.0,
                                           [](double sum, const account_mix& it) { return sum + it.weight; });
    const double model_rate = options.load * mix.model_units_per_second / mean_cost(mix.model_work);
    const duration drawn = options.length + options.head_start;
    std::vector<trace_record> records;
    for (const account_mix& account : mix.accounts) {
        const double share = account.weight / weights;
        const double flood = account.account == options.flood_account ? options.flood_factor : 1.0;
        account_source model{random, account, mix.model_work, true};
        model.draw(model_rate * share * flood, drawn, records);
        account_source plain{random, account, mix.plain_work, false};
        plain.draw(mix.plain_requests_per_second * share, drawn, records);
    }
    for (trace_record& it : records) {
        it.time = std::max(it.time - options.head_start, duration::zero());
    }
    std::stable_sort(records.begin(), records.end(),
                     [](const trace_record& a, const trace_record& b) { return a.time < b.time; });
    return records;
}

} // namespace hemlocknotch::standins
