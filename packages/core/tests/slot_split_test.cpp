#include "slot_split.hpp"

#include <boost/test/unit_test.hpp>

#include <numeric>
#include <random>

using namespace hemlocknotch;

BOOST_AUTO_TEST_SUITE(slot_split_test)

BOOST_AUTO_TEST_CASE(sum_never_exceeds_the_places)
{
    std::mt19937_64 random{1};
    for (int round = 0; round < 10000; ++round) {
        std::vector<link_slots> told(random() % 7);
        for (link_slots& it : told) {
            it.slots = static_cast<std::uint32_t>(random() % 9);
        }
        const auto total = static_cast<std::uint32_t>(random() % 20);
        std::uint32_t sum = 0;
        for (const link_slots& it : split_slots(told, total, random())) {
            sum += it.slots;
        }
        BOOST_TEST(sum <= total);
    }
}

BOOST_AUTO_TEST_CASE(fresh_links_get_equal_parts)
{
    const std::vector<link_slots> told{{1, 0}, {2, 0}, {3, 0}};
    const std::vector<link_slots> wanted{{1, 2}, {2, 3}, {3, 2}};
    BOOST_TEST((split_slots(told, 7, 1) == wanted));
}

BOOST_AUTO_TEST_CASE(room_taken_away_is_told_at_once_and_small_gains_are_not)
{
    const std::vector<link_slots> told{{1, 4}, {2, 3}};
    BOOST_TEST((split_slots(told, 0, 0) == std::vector<link_slots>{{1, 0}, {2, 0}}));
    BOOST_TEST((split_slots(told, 8, 0) == told));
}

BOOST_AUTO_TEST_SUITE_END()
