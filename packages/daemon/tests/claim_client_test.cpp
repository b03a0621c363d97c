#include "claim_client.hpp"
#include "test_loop.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

/// What becomes of one call to the fake service.
enum class fate : std::uint8_t { done, answer_lost, call_lost, refused };

/// A key-value service in memory whose calls can be lost before or after they take effect.
class fake_store final : public key_value_service {
public:
    explicit fake_store(event_base* base) : later_{base, [this] { answer_all(); }} {}

    void get(std::string_view key, callback done) override
    {
        answer(read(key), std::move(done), next_fate());
    }

    void compare_and_swap(std::string_view key, std::uint64_t expected, std::string_view value,
                          std::uint64_t /*lease*/, callback done) override
    {
        const auto what = next_fate();
        auto result = read(key);
        if (result.version != expected) {
            result.status = store_status::conflict;
        }
        else if (what == fate::done || what == fate::answer_lost) {
            values[std::string{key}] = {store_status::ok, std::string{value}, ++last_version_};
            result = values[std::string{key}];
            ++writes;
        }
        answer(result, std::move(done), what);
    }

    void remove(std::string_view key, std::uint64_t expected, callback done) override
    {
        const auto what = next_fate();
        auto result = read(key);
        if (result.version != expected) {
            result.status = store_status::conflict;
        }
        else if (what == fate::done || what == fate::answer_lost) {
            values.erase(std::string{key});
        }
        answer(result, std::move(done), what);
    }

    void watch(std::string_view key, std::uint64_t /*known*/, duration /*limit*/, callback done) override
    {
        get(key, std::move(done));
    }

    void grant_lease(duration /*time_to_live*/, callback done) override { answer({}, std::move(done), {}); }

    void keep_lease(std::uint64_t /*lease*/, callback done) override { answer({}, std::move(done), {}); }

    [[nodiscard]] std::uint64_t call_count() const override { return calls_; }

    std::map<std::string, store_answer> values;
    /// Fates of the next calls, in order; afterwards every call is done.
    std::deque<fate> fates;
    int writes = 0;

private:
    fate next_fate()
    {
        ++calls_;
        if (fates.empty()) {
            return fate::done;
        }
        const auto out = fates.front();
        fates.pop_front();
        return out;
    }

    [[nodiscard]] store_answer read(std::string_view key) const
    {
        const auto it = values.find(std::string{key});
        return it == values.end() ? store_answer{store_status::absent, "", 0} : it->second;
    }

    void answer(store_answer result, callback done, fate what)
    {
        if (what == fate::answer_lost || what == fate::call_lost) {
            result = {store_status::unknown, "", 0};
        }
        if (what == fate::refused) {
            result = {store_status::refused, "", 0};
        }
        pending_.emplace_back(std::move(result), std::move(done));
        later_.activate();
    }

    void answer_all()
    {
        for (auto& [result, done] : std::exchange(pending_, {})) {
            done(result);
        }
    }

    std::uint64_t calls_ = 0;
    std::uint64_t last_version_ = 0;
    std::vector<std::pair<store_answer, callback>> pending_;
    timer later_;
};

struct fixture {
    claim_outcome claim(const request_id& id)
    {
        const auto wanted = results.size() + 1;
        keeper.claim({id, "township", "key 1"});
        BOOST_REQUIRE(loop.run_until([&] { return results.size() == wanted; }));
        BOOST_TEST((results.back().id == id));
        return results.back().outcome;
    }

    void settle(const request_id& id, verdict outcome)
    {
        keeper.settle({id, "township", "key 1", outcome});
        BOOST_REQUIRE(loop.run_until([&] { return keeper.pending_count() == 0; }));
    }

    std::string state() const
    {
        const auto it = store.values.find(path);
        if (it == store.values.end()) {
            return "absent";
        }
        const auto record = read_claim(it->second.value);
        BOOST_REQUIRE(record.has_value());
        return record->request_id + " " + record->state;
    }

    test_loop loop;
    fake_store store{loop.base()};
    std::vector<claim_result_event> results;
    claim_client keeper{loop.base(), store,
                        claim_options{.max_tries = 3, .retry_delay = std::chrono::milliseconds{1}},
                        [this](const claim_result_event& it) { results.push_back(it); }};
    const std::string path = claim_path("township", "key 1");
    const request_id first{1, 1};
    const request_id second{2, 1};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(claim_client_test, fixture)

BOOST_AUTO_TEST_CASE(the_first_claim_wins_and_the_second_is_told)
{
    BOOST_TEST((claim(first) == claim_outcome::won));
    BOOST_TEST((claim(second) == claim_outcome::held_by_other));
    BOOST_TEST(state() == first.to_string() + " claimed");
}

BOOST_AUTO_TEST_CASE(a_write_whose_answer_was_lost_is_found_again)
{
    store.fates = {fate::answer_lost};
    BOOST_TEST((claim(first) == claim_outcome::won));
    BOOST_TEST(store.writes == 1);
}

BOOST_AUTO_TEST_CASE(lost_and_refused_calls_are_tried_again)
{
    store.fates = {fate::call_lost, fate::refused};
    BOOST_TEST((claim(first) == claim_outcome::won));
}

BOOST_AUTO_TEST_CASE(another_writer_between_two_tries_is_seen)
{
    store.fates = {fate::call_lost};
    store.values[path] = {store_status::ok, write_claim({second.to_string(), "claimed"}), 9};
    BOOST_TEST((claim(first) == claim_outcome::held_by_other));
}

BOOST_AUTO_TEST_CASE(a_claim_that_was_given_up_does_not_stay)
{
    store.fates = {fate::answer_lost, fate::call_lost, fate::call_lost};
    BOOST_TEST((claim(first) == claim_outcome::unavailable));
    BOOST_REQUIRE(loop.run_until([&] { return keeper.pending_count() == 0; }));
    BOOST_TEST(state() == "absent");
    BOOST_TEST((claim(second) == claim_outcome::won));
}

BOOST_AUTO_TEST_CASE(tries_are_bounded_while_the_service_is_down)
{
    store.fates.assign(100, fate::call_lost);
    BOOST_TEST((claim(first) == claim_outcome::unavailable));
    BOOST_REQUIRE(loop.run_until([&] { return keeper.pending_count() == 0; }));
    BOOST_TEST(store.call_count() <= 6U);
}

BOOST_AUTO_TEST_CASE(settling_keeps_or_frees_the_claim)
{
    BOOST_TEST((claim(first) == claim_outcome::won));
    settle(first, verdict::not_run);
    BOOST_TEST(state() == "absent");
    BOOST_TEST((claim(second) == claim_outcome::won));
    settle(second, verdict::ran);
    BOOST_TEST(state() == second.to_string() + " ran");
}

BOOST_AUTO_TEST_CASE(settling_goes_on_after_lost_answers)
{
    BOOST_TEST((claim(first) == claim_outcome::won));
    store.fates = {fate::done, fate::answer_lost};
    settle(first, verdict::may_have_run);
    BOOST_TEST(state() == first.to_string() + " may-have-run");
}

BOOST_AUTO_TEST_CASE(settling_leaves_the_claim_of_another_alone)
{
    BOOST_TEST((claim(first) == claim_outcome::won));
    settle(second, verdict::not_run);
    BOOST_TEST(state() == first.to_string() + " claimed");
}

BOOST_AUTO_TEST_CASE(different_pairs_have_different_paths)
{
    BOOST_TEST(claim_path("a", "b/c") != claim_path("a/b", "c"));
    BOOST_TEST(claim_path("a", "~2F") != claim_path("a", "/"));
    BOOST_TEST(claim_path("a", "b c").find(' ') == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::daemon
