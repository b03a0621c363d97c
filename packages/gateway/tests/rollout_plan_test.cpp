#include <hemlocknotch/gateway/rollout_plan.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The plan of one gateway that judges, with two endpoints of each of two versions.
struct plan_fixture {
    plan_fixture() { set_endpoints({"v1", "v2"}); }

    void set_endpoints(const std::vector<std::string>& versions)
    {
        records.clear();
        for (const auto& version : versions) {
            for (const auto* name : {"-a", "-b"}) {
                endpoint_record it{.instance = version + name,
                                   .service = "s",
                                   .address = *endpoint_address::parse("127.0.0.1:80"),
                                   .failure_domain = "d",
                                   .slots = 1,
                                   .is_draining = false,
                                   .cold_remaining = {},
                                   .started_at_ms = 1,
                                   .software_version = version};
                records.push_back(std::move(it));
            }
        }
        std::vector<const endpoint_record*> pointers;
        for (const auto& it : records) {
            pointers.push_back(&it);
        }
        plan.set_endpoints(pointers);
    }

    /// Applies what the registry holds.
    void apply(const std::optional<rollout_order>& it, std::uint64_t order_revision,
               std::uint64_t revision = 100)
    {
        plan.set_registered(it ? &*it : nullptr, {era, order_revision}, record ? &*record : nullptr,
                            {era, record_revision}, {era, revision}, now);
    }

    /// Lets the plan decide and write for `time`.
    void run(duration time)
    {
        for (const auto until = now + time; now < until; now += milliseconds{100}) {
            plan.update(true, now);
            if (const auto it = plan.take_write(0, now)) {
                record = it->record;
                record_revision = ++last_revision;
                plan.note_written(*record, {era, record_revision}, now);
            }
        }
    }

    void answer(int count, bool is_bad)
    {
        for (int n = 0; n < count; ++n) {
            plan.note_answer(records[static_cast<std::size_t>(n % 2)], "r", false);
            plan.note_answer(records[2 + static_cast<std::size_t>(n % 2)], "r", is_bad);
        }
    }

    [[nodiscard]] bool may_go_to(const std::string& version) const
    {
        for (const auto draw : {0.0, 0.5, 0.999}) {
            const auto choice = plan.choose(draw, true, now);
            const auto is_avoided = std::ranges::find(choice.avoided, version) != choice.avoided.end();
            if (choice.only != nullptr ? *choice.only == version || (choice.may_fall_back && !is_avoided)
                                       : !is_avoided) {
                return true;
            }
        }
        return false;
    }

    const rollout_order order{"s", "v2", seconds{20}};
    instant now{seconds{1000}};
    std::uint64_t era = 1;
    std::optional<rollout_record> record;
    std::uint64_t record_revision = 0;
    std::uint64_t last_revision = 100;
    std::vector<endpoint_record> records;
    rollout_plan plan{"s", 0.1};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(rollout_plan_suite, plan_fixture)

BOOST_AUTO_TEST_CASE(a_sound_version_is_observed_for_half_of_the_time_limit_and_then_moved_to)
{
    apply(order, 7);
    answer(100, false);
    run(seconds{9});
    BOOST_TEST((plan.phase() == rollout_phase::observing));
    BOOST_TEST((record && record->phase == rollout_phase::observing));
    run(seconds{2});
    BOOST_TEST((plan.phase() == rollout_phase::moving));
    run(seconds{4});
    BOOST_TEST((plan.phase() == rollout_phase::completed));
    BOOST_TEST(!may_go_to("v1"));
    BOOST_TEST(may_go_to("v2"));
}

/// Guards against open requests that are cut since their endpoints stop at completion.
BOOST_AUTO_TEST_CASE(completion_waits_for_requests_at_other_versions_until_the_time_limit_is_near)
{
    apply(order, 7);
    answer(100, false);
    plan.set_open_elsewhere(3);
    run(seconds{16});
    BOOST_TEST((plan.phase() == rollout_phase::moving));
    run(seconds{2});
    BOOST_TEST((plan.phase() == rollout_phase::completed));
}

/// Guards against a gateway that starts a roll-out again which another one has ended.
BOOST_AUTO_TEST_CASE(the_record_decides_where_it_is_final)
{
    for (const auto phase : {rollout_phase::completed, rollout_phase::rolled_back}) {
        plan_fixture it;
        it.record = rollout_record{it.order, {1, 7}, phase, seconds{5}, {}};
        it.record_revision = 50;
        it.apply(it.order, 7);
        BOOST_TEST((it.plan.phase() == phase));
    }
}

BOOST_AUTO_TEST_CASE(a_decision_of_another_gateway_is_taken_over_at_once)
{
    apply(order, 7);
    plan.apply_report(
        "g2", {.order = order, .position = {1, 7}, .phase = rollout_phase::rolled_back, .evidence = {}}, now);
    BOOST_TEST((plan.phase() == rollout_phase::rolled_back));
    BOOST_TEST(!may_go_to("v2"));
    BOOST_TEST(plan.take_urgency());
}

/// Guards against two gateways that take a roll-out for begun at different times.
BOOST_AUTO_TEST_CASE(the_longest_known_time_since_the_order_counts)
{
    apply(order, 7);
    plan.apply_report("g2", {.order = order, .position = {1, 7}, .elapsed = seconds{6}, .evidence = {}}, now);
    BOOST_TEST((plan.elapsed(now) == seconds{6}));
    plan.apply_report("g3", {.order = order, .position = {1, 7}, .elapsed = seconds{1}, .evidence = {}}, now);
    BOOST_TEST((plan.elapsed(now) == seconds{6}));
}

BOOST_AUTO_TEST_CASE(a_newer_order_replaces_one_that_runs_and_blocks_its_version)
{
    apply(order, 7);
    run(seconds{1});
    apply(rollout_order{"s", "v3", seconds{20}}, 9);
    BOOST_TEST((plan.phase() == rollout_phase::observing));
    BOOST_TEST(plan.order()->version == "v3");
    BOOST_TEST(!may_go_to("v2"));
    BOOST_TEST(plan.is_blocked("v2"));
    apply(order, 11);
    BOOST_TEST(!plan.is_blocked("v2"));
}

/// Guards against a version that stays out though the operators order it again.
BOOST_AUTO_TEST_CASE(the_same_order_written_again_after_its_end_begins_anew)
{
    apply(order, 7);
    answer(40, true);
    run(seconds{1});
    BOOST_TEST((plan.phase() == rollout_phase::rolled_back));
    apply(order, 8);
    BOOST_TEST((plan.phase() == rollout_phase::observing));
}

/// Guards against a restored store whose copy makes a roll-out begin again.
BOOST_AUTO_TEST_CASE(an_order_that_is_written_again_after_a_restore_is_the_same_order)
{
    apply(order, 7);
    answer(40, true);
    run(seconds{1});
    BOOST_REQUIRE((plan.phase() == rollout_phase::rolled_back));
    era = 2;
    record.reset();
    apply(order, 3, 5);
    BOOST_TEST((plan.phase() == rollout_phase::rolled_back));
    apply(order, 6, 6);
    BOOST_TEST((plan.phase() == rollout_phase::rolled_back));
    run(seconds{1});
    BOOST_TEST((record && record->phase == rollout_phase::rolled_back));
}

BOOST_AUTO_TEST_CASE(a_version_that_runs_alone_is_completed)
{
    set_endpoints({"v2"});
    apply(order, 7);
    run(seconds{3});
    BOOST_TEST((plan.phase() == rollout_phase::completed));
}

/// Guards against a takeover by too few endpoints.
BOOST_AUTO_TEST_CASE(a_version_without_endpoints_is_rolled_back_before_the_time_limit)
{
    set_endpoints({"v1"});
    apply(order, 7);
    run(seconds{16});
    BOOST_TEST((plan.phase() == rollout_phase::rolled_back));
    BOOST_TEST(plan.reason() == "not-started");
}

BOOST_AUTO_TEST_CASE(time_limits_that_are_absurd_end_a_roll_out_or_bound_its_observation)
{
    apply(rollout_order{"s", "v2", milliseconds{1}}, 7);
    run(seconds{1});
    BOOST_TEST((plan.phase() == rollout_phase::rolled_back));
    apply(rollout_order{"s", "v2", std::chrono::hours{24 * 30}}, 8);
    answer(100, false);
    run(rollout_plan::max_observing_time + rollout_plan::max_ramp_time + seconds{2});
    BOOST_TEST((plan.phase() == rollout_phase::completed));
}

/// Plays random events against invariants: a version that was rolled back gets nothing, an end stays as it is
/// until the registry says otherwise, and some version may always get a request.
BOOST_AUTO_TEST_CASE(no_order_of_events_sends_requests_to_a_version_that_was_rolled_back)
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        plan_fixture it;
        std::minstd_rand random{seed};
        const auto draw = [&](int n) { return std::uniform_int_distribution{0, n - 1}(random); };
        std::optional<rollout_order> ordered;
        std::uint64_t order_revision = 10;
        for (int n = 0; n < 200; ++n) {
            switch (draw(8)) {
            case 0:
                ordered = draw(4) == 0 ? std::nullopt
                                       : std::optional{rollout_order{"s", draw(2) == 0 ? "v2" : "v3",
                                                                     seconds{1 + draw(30)}}};
                ++order_revision;
                break;
            case 1:
                it.set_endpoints(draw(2) == 0 ? std::vector<std::string>{"v1", "v2"}
                                              : std::vector<std::string>{"v1", "v2", "v3"});
                break;
            case 2:
                if (it.plan.order()) {
                    it.plan.apply_report("g" + std::to_string(draw(3)),
                                         {.order = *it.plan.order(),
                                          .position = {it.era, order_revision},
                                          .phase = static_cast<rollout_phase>(draw(4)),
                                          .elapsed = seconds{draw(40)},
                                          .requests = static_cast<std::uint64_t>(draw(1000)),
                                          .evidence = {}},
                                         it.now);
                }
                break;
            case 3:
                it.answer(draw(30), draw(2) == 0);
                break;
            case 4:
                if (draw(5) == 0) {
                    ++it.era;
                    it.record.reset();
                }
                break;
            default:
                it.run(milliseconds{draw(3000)});
                break;
            }
            it.apply(ordered, order_revision, it.last_revision + 100);
            if (it.plan.order() && it.plan.phase() == rollout_phase::rolled_back) {
                BOOST_REQUIRE(!it.may_go_to(it.plan.order()->version));
                BOOST_REQUIRE(it.plan.is_blocked(it.plan.order()->version));
                it.run(milliseconds{300});
                BOOST_REQUIRE(it.plan.phase() == rollout_phase::rolled_back);
            }
            BOOST_REQUIRE(it.may_go_to("v1") || it.may_go_to("v2") || it.may_go_to("v3"));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::gateway
