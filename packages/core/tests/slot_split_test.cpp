#include "slot_split.hpp"

#include <boost/test/unit_test.hpp>

#include <numeric>
#include <random>

using namespace hemlocknotch;

BOOST_AUTO_TEST_SUITE(slot_split_test)

BOOST_AUTO_TEST_CASE(sum_does_not_exceed_the_total)
{
    std::mt19937_64 random{1};
    for (int round = 0; round < 10000; ++round) {
        std::vector<link_slots> advertised(random() % 7);
        for (link_slots& it : advertised) {
            it.slots = static_cast<std::uint32_t>(random() % 9);
        }
        const auto total = static_cast<std::uint32_t>(random() % 20);
        std::uint32_t sum = 0;
        for (const link_slots& it : split_slots(advertised, total, random())) {
            sum += it.slots;
        }
        BOOST_TEST(sum <= total);
    }
}

BOOST_AUTO_TEST_CASE(new_links_get_equal_shares)
{
    const std::vector<link_slots> advertised{{1, 0}, {2, 0}, {3, 0}};
    const std::vector<link_slots> expected{{1, 2}, {2, 3}, {3, 2}};
    BOOST_TEST((split_slots(advertised, 7, 1) == expected));
}

BOOST_AUTO_TEST_CASE(reduction_is_applied_at_once_and_a_small_gain_is_not)
{
    const std::vector<link_slots> advertised{{1, 4}, {2, 3}};
    BOOST_TEST((split_slots(advertised, 0, 0) == std::vector<link_slots>{{1, 0}, {2, 0}}));
    BOOST_TEST((split_slots(advertised, 8, 0) == advertised));
}

BOOST_AUTO_TEST_SUITE_END()
