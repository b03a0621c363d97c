#include <hemlocknotch/gateway/answer_memory.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

constexpr auto limit = answer_memory::default_max_bytes;

BOOST_AUTO_TEST_SUITE(answer_memory_suite)

BOOST_AUTO_TEST_CASE(one_answer_may_have_all_that_is_free)
{
    answer_memory memory;
    answer_holding it{memory};
    BOOST_TEST(it.set(limit));
    BOOST_TEST(!it.set(limit + 1));
    BOOST_TEST(it.set(limit));
    BOOST_TEST(it.set(0));
    BOOST_TEST(memory.total_bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(beyond_the_limit_answers_grow_up_to_an_even_part_only)
{
    answer_memory memory;
    answer_holding large{memory};
    answer_holding small{memory};
    BOOST_TEST(large.set(limit));
    BOOST_TEST(small.set(limit / 2));
    BOOST_TEST(!small.set(limit / 2 + 1));
    BOOST_TEST(large.set(limit - 1));
}

BOOST_AUTO_TEST_CASE(what_a_holder_had_is_free_when_it_ends)
{
    answer_memory memory;
    {
        answer_holding it{memory};
        BOOST_TEST(it.set(limit));
    }
    BOOST_TEST(memory.total_bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(any_number_of_answers_together_have_twice_the_limit_at_most)
{
    constexpr std::size_t step = 64U << 10U;
    for (const std::size_t count : {1U, 2U, 24U, 500U, 2000U}) {
        answer_memory memory;
        std::vector<std::unique_ptr<answer_holding>> holders(count);
        std::vector<std::size_t> bytes(count, 0);
        std::ranges::generate(holders, [&] { return std::make_unique<answer_holding>(memory); });
        for (std::size_t n = 0; n < 4 * limit / step; ++n) {
            const auto which = n % count;
            bytes[which] += step / 8;
            if (!holders[which]->set(bytes[which])) {
                bytes[which] = 0;
                BOOST_TEST(holders[which]->set(0));
            }
            BOOST_TEST(memory.total_bytes() <= 2 * limit);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
