#include <hemlocknotch/gateway/endpoint_table.hpp>
#include <hemlocknotch/gateway/fleet_rate_limiter.hpp>
#include <hemlocknotch/gateway/retry_budget.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(limits_suite)

BOOST_AUTO_TEST_CASE(fleet_rate_limiters_of_all_gateways_stay_within_the_rate)
{
    for (const std::size_t gateways : {1U, 4U, 30U}) {
        instant now{};
        std::vector<fleet_rate_limiter> limiters;
        for (std::size_t n = 0; n < gateways; ++n) {
            limiters.emplace_back(8.9 * endpoint_table::cold_rate_share, gateways,
                                  static_cast<double>(n) / static_cast<double>(gateways));
            limiters.back().restart(now);
        }
        unsigned sent = 0;
        for (int ms = 0; ms < 1000; ++ms) {
            for (auto& it : limiters) {
                if (it.may_admit(now)) {
                    it.on_admitted(now);
                    ++sent;
                }
            }
            now += milliseconds{1};
        }
        // Requests per second that a cold endpoint sustains: 1.5 times its rate and five more.
        BOOST_TEST(sent <= 8.9 * 1.5 + 5.0);
        BOOST_TEST(sent >= 1U);
    }
}

BOOST_AUTO_TEST_CASE(retries_of_all_gateways_stay_within_the_limit)
{
    const retry_bound bound{0.2, 52.0};
    for (const std::size_t gateways : {1U, 4U, 30U}) {
        std::vector<retry_budget> budgets(gateways, retry_budget{bound, gateways});
        unsigned requests = 0;
        unsigned retries = 0;
        for (int round = 0; round < 100; ++round) {
            for (auto& it : budgets) {
                it.on_request();
                ++requests;
                retries += it.try_spend() ? 1U : 0U;
            }
        }
        BOOST_TEST(retries <= bound.ratio * requests + bound.reserve);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
