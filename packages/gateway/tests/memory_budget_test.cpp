#include <hemlocknotch/gateway/memory_budget.hpp>

#include <boost/test/unit_test.hpp>

namespace hemlocknotch::gateway {

BOOST_AUTO_TEST_SUITE(memory_budget_suite)

BOOST_AUTO_TEST_CASE(requests_and_answers_together_leave_room_for_the_process)
{
    constexpr std::size_t megabyte = 1'000'000;
    constexpr std::size_t largest_request = 5 * megabyte;
    for (const std::size_t instance : {40, 48, 110, 160, 260, 512}) {
        BOOST_TEST_CONTEXT(instance)
        {
            const auto it = memory_budget::of(instance * megabyte);
            BOOST_TEST(it.request_bytes >= largest_request);
            BOOST_TEST(it.request_bytes + 2 * it.answer_bytes <=
                       instance * megabyte - memory_budget::process_bytes);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::gateway
