#include <hemlocknotch/coordination/fencing_holder.hpp>

#include "fake_key_value_service.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace hemlocknotch;

namespace {

constexpr std::chrono::seconds lease{10};

/// A process with a store client of its own.
struct process {
    process(fake_store& store, const instant& now, std::uint64_t number, fencing_check check)
        : service{store}, holder{service, "engine-1", {"agent-" + std::to_string(number), number},
                                 check,   lease,      [&now] { return now; }}
    {
    }

    void refresh()
    {
        holder.refresh();
        service.run();
    }

    fake_key_value_service service;
    fencing_holder holder;
};

struct fixture {
    fake_store store;
    instant now{std::chrono::seconds{100}};
};

fake_fault draw_fault(std::mt19937_64& random)
{
    constexpr std::array faults{fake_fault::none,    fake_fault::none,      fake_fault::none,
                                fake_fault::refused, fake_fault::call_lost, fake_fault::answer_lost,
                                fake_fault::late};
    return faults.at(std::uniform_int_distribution<std::size_t>{0, faults.size() - 1}(random));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(fencing_holder_test, fixture)

BOOST_AUTO_TEST_CASE(next_holder_gets_a_higher_number_and_the_previous_one_loses_its_token)
{
    process first{store, now, 1, fencing_check::checked_by_engine};
    process second{store, now, 2, fencing_check::checked_by_engine};
    first.refresh();
    BOOST_TEST(first.holder.token()->number == 1U);
    second.refresh();
    BOOST_TEST(second.holder.token()->number == 2U);
    first.refresh();
    BOOST_TEST(!first.holder.token().has_value());
}

BOOST_AUTO_TEST_CASE(renewal_keeps_the_number_until_the_lease_expires)
{
    process holder{store, now, 1, fencing_check::ignored_by_engine};
    holder.refresh();
    for (int i = 0; i < 5; ++i) {
        now += lease / 2;
        holder.refresh();
        BOOST_TEST(holder.holder.token()->number == 1U);
    }
    now += lease;
    BOOST_TEST(!holder.holder.token().has_value());
}

BOOST_AUTO_TEST_CASE(write_whose_answer_was_lost_is_found_by_the_next_refresh)
{
    process holder{store, now, 1, fencing_check::checked_by_engine};
    int calls = 0;
    holder.service.set_fault_plan([&] { return ++calls == 2 ? fake_fault::answer_lost : fake_fault::none; });
    holder.refresh();
    BOOST_TEST(!holder.holder.token().has_value());
    holder.refresh();
    BOOST_TEST(holder.holder.token()->number == 1U);
}

BOOST_AUTO_TEST_CASE(destroyed_holder_ignores_later_answers)
{
    fake_key_value_service other{store};
    auto holder =
        std::make_unique<fencing_holder>(other, "engine-2", process_identity{"agent-1", 1},
                                         fencing_check::checked_by_engine, lease, [] { return instant{}; });
    holder->refresh();
    holder.reset();
    other.run();
    BOOST_TEST(store.entries().empty());
}

BOOST_AUTO_TEST_CASE(at_most_one_process_has_a_token_for_an_engine_that_does_not_check)
{
    constexpr int seed_count = 200;
    constexpr int step_count = 400;
    int orders = 0;
    for (int seed = 1; seed <= seed_count; ++seed) {
        std::mt19937_64 random{static_cast<std::mt19937_64::result_type>(seed)};
        fake_store shared;
        std::vector<std::unique_ptr<process>> processes;
        for (std::uint64_t n = 1; n <= 3; ++n) {
            processes.push_back(std::make_unique<process>(shared, now, n, fencing_check::ignored_by_engine));
            processes.back()->service.set_fault_plan([&random] { return draw_fault(random); });
        }
        for (int n = 0; n < step_count; ++n) {
            now += std::chrono::milliseconds{std::uniform_int_distribution<int>{0, 1000}(random)};
            const std::size_t chosen = std::uniform_int_distribution<std::size_t>{0, 2}(random);
            process& it = *processes[chosen];
            // The processes take turns to refresh, each for `steps_each` steps, while the others only
            // complete calls.
            constexpr int steps_each = 100;
            const bool is_refreshing = chosen == static_cast<std::size_t>(n / steps_each) % processes.size();
            if (it.service.pending_count() > 0) {
                it.service.step(0);
            }
            else if (is_refreshing) {
                it.holder.refresh();
            }
            const auto holders = std::count_if(processes.begin(), processes.end(),
                                               [](const auto& p) { return p->holder.token().has_value(); });
            BOOST_TEST(holders <= 1, "seed " << seed << " step " << n);
            orders += static_cast<int>(holders);
        }
    }
    BOOST_TEST(orders > 0);
}

BOOST_AUTO_TEST_CASE(text_that_is_not_a_record_reads_as_nothing)
{
    const fencing_record record{7, {"agent-1", 9}};
    BOOST_TEST((read_fencing_record(write_fencing_record(record)) == record));
    BOOST_TEST(!read_fencing_record("").has_value());
    BOOST_TEST(!read_fencing_record(R"({"number": -1, "holder": "x", "incarnation": 1})").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
