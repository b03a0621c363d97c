#include <hemlocknotch/gateway/cold_rate_limiter.hpp>
#include <hemlocknotch/gateway/retry_budget.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(limits_suite)

BOOST_AUTO_TEST_CASE(cold_gates_of_all_gateways_stay_within_the_rate)
{
    for (const std::size_t gateways : {1U, 4U, 30U}) {
        instant now{};
        std::vector<cold_rate_limiter> gates;
        for (std::size_t n = 0; n < gateways; ++n) {
            gates.emplace_back(8.9, gateways, static_cast<double>(n) / static_cast<double>(gateways));
            gates.back().restart(now);
        }
        unsigned sent = 0;
        for (int ms = 0; ms < 1000; ++ms) {
            for (auto& it : gates) {
                if (it.may_admit(now)) {
                    it.on_admitted(now);
                    ++sent;
                }
            }
            now += milliseconds{1};
        }
        // What a cold endpoint bears in a second: 1.5 times its rate and five more.
        BOOST_TEST(sent <= 8.9 * 1.5 + 5.0);
        BOOST_TEST(sent >= 1U);
    }
}

BOOST_AUTO_TEST_CASE(retries_of_all_gateways_stay_within_the_bound)
{
    const retry_bound bound{0.2, 52.0};
    for (const std::size_t gateways : {1U, 4U, 30U}) {
        std::vector<retry_budget> parts(gateways, retry_budget{bound, gateways});
        unsigned requests = 0;
        unsigned retries = 0;
        for (int round = 0; round < 100; ++round) {
            for (auto& it : parts) {
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
