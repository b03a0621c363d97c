#include <hemlocknotch/core/rendezvous.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

using hemlocknotch::is_watcher;
using hemlocknotch::rendezvous_choose;

namespace {

std::vector<std::string> create_names(std::size_t n)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < n; ++i) {
        names.push_back("instance-" + std::to_string(i));
    }
    return names;
}

std::vector<std::string> choose_names(std::string_view key, const std::vector<std::string>& names,
                                      std::size_t n)
{
    std::vector<std::string> chosen;
    for (const std::size_t it : rendezvous_choose(key, names, n)) {
        chosen.push_back(names[it]);
    }
    return chosen;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rendezvous_test)

BOOST_AUTO_TEST_CASE(choice_does_not_depend_on_the_order_of_the_candidates)
{
    std::vector<std::string> names = create_names(30);
    const std::vector<std::string> before = choose_names("key", names, 5);
    std::reverse(names.begin(), names.end());
    BOOST_TEST(choose_names("key", names, 5) == before, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(all_candidates_are_chosen_if_there_are_fewer_than_requested)
{
    BOOST_TEST(choose_names("key", create_names(3), 5).size() == 3U);
    BOOST_TEST(choose_names("key", {}, 5).empty());
}

BOOST_AUTO_TEST_CASE(a_candidate_that_leaves_moves_only_its_own_keys)
{
    const std::vector<std::string> names = create_names(20);
    std::vector<std::string> fewer = names;
    fewer.erase(fewer.begin() + 7);
    std::size_t moved = 0;
    for (int i = 0; i < 1000; ++i) {
        const std::string key = "key-" + std::to_string(i);
        const std::string before = choose_names(key, names, 1).front();
        const std::string after = choose_names(key, fewer, 1).front();
        BOOST_TEST((before == after || before == names[7]));
        moved += before == names[7] ? 1 : 0;
    }
    BOOST_TEST(moved > 0U);
    BOOST_TEST(moved < 150U);
}

BOOST_AUTO_TEST_CASE(each_domain_has_the_configured_number_of_watchers)
{
    const std::vector<std::string> names = create_names(161);
    const auto watchers =
        std::count_if(names.begin(), names.end(), [&](const auto& it) { return is_watcher(it, names, 2); });
    BOOST_TEST(watchers == 2);
    BOOST_TEST(is_watcher("alone", {}, 2));
    BOOST_TEST(!is_watcher("alone", {}, 0));
}

BOOST_AUTO_TEST_SUITE_END()
