#include "tombstone_set.hpp"

#include <boost/test/unit_test.hpp>

using namespace hemlocknotch;

namespace {

constexpr duration retention = std::chrono::seconds{10};
const request_id early{1, 3};
const request_id late{1, 9};

} // namespace

BOOST_AUTO_TEST_SUITE(tombstone_set_test)

BOOST_AUTO_TEST_CASE(record_of_a_later_attempt_is_not_replaced)
{
    tombstone_set it{10, retention};
    it.add(early, tombstone_kind::forgotten, 2, instant{});
    it.add(early, tombstone_kind::not_run, 1, instant{});
    BOOST_TEST((it.find(early)->kind == tombstone_kind::forgotten));
    BOOST_TEST(it.find(early)->attempt == 2U);
}

BOOST_AUTO_TEST_CASE(tombstones_may_have_been_dropped_only_for_ids_up_to_the_highest_dropped_id)
{
    tombstone_set it{1, retention};
    it.add(early, tombstone_kind::not_run, 1, instant{});
    BOOST_TEST(!it.may_have_dropped(early));
    it.add(late, tombstone_kind::not_run, 1, instant{});
    BOOST_TEST(it.size() == 1U);
    BOOST_TEST(it.may_have_dropped(early));
    BOOST_TEST(!it.may_have_dropped(late));
    it.expire(instant{} + retention);
    BOOST_TEST(it.size() == 0U);
    BOOST_TEST(it.may_have_dropped(late));
    BOOST_TEST(!it.may_have_dropped(request_id{1, 10}));
    BOOST_TEST(!it.may_have_dropped(request_id{2, 1}));
}

BOOST_AUTO_TEST_CASE(renewed_record_is_retained_from_its_renewal_on)
{
    tombstone_set it{10, retention};
    it.add(early, tombstone_kind::not_run, 1, instant{});
    it.add(early, tombstone_kind::not_run, 2, instant{} + retention / 2);
    it.expire(instant{} + retention);
    BOOST_TEST(it.find(early).has_value());
}

BOOST_AUTO_TEST_CASE(record_stays_available_when_one_id_is_renewed_repeatedly)
{
    tombstone_set it{4, retention};
    for (std::uint32_t n = 1; n <= 1000; ++n) {
        it.add(early, tombstone_kind::not_run, n, instant{});
        BOOST_TEST(it.find(early)->attempt == n);
    }
}

BOOST_AUTO_TEST_CASE(dropped_ids_of_disconnected_entries_are_discarded)
{
    tombstone_set it{10, retention};
    it.add(early, tombstone_kind::not_run, 1, instant{});
    it.expire(instant{} + retention);
    it.retain_entries({2});
    BOOST_TEST(!it.may_have_dropped(early));
}

BOOST_AUTO_TEST_SUITE_END()
