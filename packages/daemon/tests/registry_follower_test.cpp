#include "gateway/registry_follower.hpp"
#include "test_loop.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

using namespace gateway;

registry_item endpoint(const std::string& name)
{
    return endpoint_item{{.instance = name,
                          .service = "s",
                          .address = *endpoint_address::parse("127.0.0.1:80"),
                          .failure_domain = "d",
                          .slots = 1,
                          .is_draining = false,
                          .cold_remaining = {},
                          .started_at_ms = 0}};
}

registry_change written(const std::string& name, std::uint64_t revision)
{
    return {"e/" + name, revision, false, endpoint(name), name};
}

registry_change removed(const std::string& name, std::uint64_t revision)
{
    return {"e/" + name, revision, true, unreadable_item{}, ""};
}

/// A registry whose answers are given by the test.
class scripted_feed final : public registry_client {
public:
    void read(callback done) override
    {
        ++reads;
        answers_.push_back(std::move(done));
    }

    void watch(std::uint64_t /*revision*/, duration /*wait*/, callback done) override
    {
        answers_.push_back(std::move(done));
    }

    [[nodiscard]] registry_item decode(std::string_view /*key*/, std::string_view value) const override
    {
        return endpoint(std::string{value});
    }

    void join(std::string_view /*name*/, const endpoint_address& /*at*/, duration /*ttl*/,
              callback /*done*/) override
    {
    }

    void renew(std::uint64_t /*lease*/, callback /*done*/) override {}

    void leave(std::uint64_t /*lease*/) override {}

    [[nodiscard]] std::uint64_t call_count() const override { return 0; }

    [[nodiscard]] bool is_asked() const { return !answers_.empty(); }

    void answer(registry_status status, std::vector<registry_change> changes = {}, std::uint64_t revision = 0)
    {
        auto done = std::move(answers_.front());
        answers_.pop_front();
        registry_answer out;
        out.status = status;
        out.changes = std::move(changes);
        out.revision = revision;
        done(std::move(out));
    }

    int reads = 0;

private:
    std::deque<callback> answers_;
};

struct follower_fixture {
    struct member {
        explicit member(follower_fixture& owner, const std::string& name)
            : follower{owner.loop.base(),
                       feed,
                       view,
                       {name, *endpoint_address::parse("127.0.0.1:1"), std::chrono::milliseconds{20}},
                       [&owner] { return owner.now; },
                       [](const registry_difference&) {},
                       [](const log_effect&) {},
                       [this](registry_update it) { told.push_back(std::move(it)); },
                       [] {}}
        {
        }

        scripted_feed feed;
        registry_view view;
        std::vector<registry_update> told;
        registry_follower follower;
    };

    bool wait_until_asked(member& it) const
    {
        return loop.run_until([&] { return it.feed.is_asked(); });
    }

    void start(member& it) const
    {
        it.follower.start();
        it.feed.answer(registry_status::ok, {written("a", 5), written("b", 6)}, 6);
    }

    test_loop loop;
    instant now{std::chrono::seconds{100}};
    member first{*this, "g1"};
    member second{*this, "g2"};
};

BOOST_FIXTURE_TEST_SUITE(registry_follower_suite, follower_fixture)

BOOST_AUTO_TEST_CASE(tells_a_return_that_follows_a_lapse_in_one_answer)
{
    start(first);
    start(second);
    BOOST_REQUIRE(wait_until_asked(first));
    first.feed.answer(registry_status::unknown);
    now += std::chrono::seconds{4};
    BOOST_REQUIRE(wait_until_asked(first));
    // Both lapsed in the outage, and one has registered again as it was.
    first.feed.answer(registry_status::ok, {removed("a", 7), removed("b", 8), written("a", 9)}, 9);
    BOOST_REQUIRE_EQUAL(first.told.size(), 1U);
    second.follower.take_news(first.told[0]);
    now += std::chrono::seconds{3};
    first.view.on_timer(now);
    second.view.on_timer(now);
    BOOST_REQUIRE_EQUAL(first.view.endpoints().size(), 1U);
    BOOST_REQUIRE_EQUAL(second.view.endpoints().size(), 1U);
    BOOST_TEST(second.view.endpoints()[0].instance == "a");
}

BOOST_AUTO_TEST_CASE(leaves_out_what_has_only_grown_older)
{
    start(first);
    BOOST_REQUIRE(wait_until_asked(first));
    first.feed.answer(registry_status::ok, {written("a", 7), written("c", 8)}, 8);
    BOOST_REQUIRE_EQUAL(first.told.size(), 1U);
    BOOST_REQUIRE_EQUAL(first.told[0].changes.size(), 1U);
    BOOST_TEST(first.told[0].changes[0].key == "e/c");
}

BOOST_AUTO_TEST_CASE(reads_everything_where_its_view_differs_from_the_tellers)
{
    start(second);
    registry_update news;
    news.gateway = "g1";
    news.from_revision = 6;
    news.to_revision = 7;
    news.digest = 1;
    const auto before = second.feed.reads;
    second.follower.take_news(news);
    BOOST_REQUIRE(wait_until_asked(second));
    BOOST_TEST(second.feed.reads == before + 1);
}

BOOST_AUTO_TEST_CASE(does_not_believe_news_with_a_gap_before_them)
{
    start(second);
    registry_update news;
    news.gateway = "g1";
    news.from_revision = 20;
    news.to_revision = 21;
    news.changes = {{"e/a", 21, true, ""}};
    second.follower.take_news(news);
    BOOST_TEST(second.view.endpoints().size() == 2U);
    BOOST_TEST(second.view.revision() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
