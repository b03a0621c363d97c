#include <hemlocknotch/gateway/exposure_budget.hpp>

#include <boost/test/unit_test.hpp>

namespace hemlocknotch::gateway {

BOOST_AUTO_TEST_SUITE(exposure_budget_suite)

/// Guards against a new version that gets more than its share at any moment, from the first request on.
BOOST_AUTO_TEST_CASE(never_exceeds_its_share)
{
    constexpr double share = 0.08;
    exposure_budget it{share};
    for (int n = 0; n < 10'000; ++n) {
        it.note_sent(it.may_expose());
        BOOST_REQUIRE_LE(static_cast<double>(it.exposed()), share * static_cast<double>(it.requests()));
    }
    BOOST_CHECK_EQUAL(it.exposed(), 800U);
}

BOOST_AUTO_TEST_CASE(requests_that_were_sent_without_asking_count)
{
    exposure_budget it{0.5};
    for (int n = 0; n < 10; ++n) {
        it.note_sent(true);
    }
    BOOST_CHECK(!it.may_expose());
    for (int n = 0; n < 11; ++n) {
        it.note_sent(false);
    }
    BOOST_CHECK(it.may_expose());
}

BOOST_AUTO_TEST_CASE(a_share_of_zero_exposes_nothing)
{
    exposure_budget it{0.0};
    it.note_sent(false);
    BOOST_CHECK(!it.may_expose());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::gateway
