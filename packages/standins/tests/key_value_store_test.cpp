#include <hemlocknotch/standins/key_value_store.hpp>

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(key_value_store_test)

using hemlocknotch::instant;
using hemlocknotch::standins::key_value_store;
using hemlocknotch::standins::write_status;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(compare_and_swap_needs_the_current_version)
{
    key_value_store store;
    BOOST_TEST((store.compare_and_swap("a", 0, "1", 0) == write_status::done));
    BOOST_TEST((store.compare_and_swap("a", 0, "2", 0) == write_status::conflict));
    const std::uint64_t version = store.find("a")->version;
    BOOST_TEST((store.compare_and_swap("b", 0, "x", 0) == write_status::done));
    BOOST_TEST(store.find("b")->version > version);
    BOOST_TEST((store.compare_and_swap("a", version, "2", 0) == write_status::done));
    BOOST_TEST(store.find("a")->value == "2");
    BOOST_TEST((store.remove("a", version) == write_status::conflict));
    BOOST_TEST((store.remove("a", store.find("a")->version) == write_status::done));
    BOOST_TEST((store.remove("a", 1) == write_status::absent));
    BOOST_TEST((store.compare_and_swap("a", 0, "3", 0) == write_status::done));
}

BOOST_AUTO_TEST_CASE(keys_go_with_their_lease)
{
    key_value_store store;
    const instant start{};
    const std::uint64_t lease = store.grant_lease(1s, start);
    BOOST_TEST((store.compare_and_swap("a", 0, "1", lease) == write_status::done));
    BOOST_TEST((store.compare_and_swap("b", 0, "1", lease + 1) == write_status::unknown_lease));
    BOOST_TEST(store.keep_lease(lease, start + 900ms));
    store.expire(start + 1800ms);
    BOOST_TEST(store.find("a") != nullptr);
    store.expire(start + 1900ms);
    BOOST_TEST(store.find("a") == nullptr);
    BOOST_TEST(!store.keep_lease(lease, start + 1900ms));
}

BOOST_AUTO_TEST_SUITE_END()
