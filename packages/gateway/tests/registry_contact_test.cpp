#include <hemlocknotch/gateway/registry_contact.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>

namespace hemlocknotch::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds max_silence{1600};
constexpr instant never = instant::max();

instant at(std::int64_t ms)
{
    return instant{std::chrono::seconds{50}} + milliseconds{ms};
}

struct contact_fixture {
    contact_fixture() { it.note_read(never, at(0), at(10)); }

    registry_contact it{max_silence, at(0)};
};

BOOST_FIXTURE_TEST_SUITE(registry_contact_suite, contact_fixture)

BOOST_AUTO_TEST_CASE(reads_that_failed_for_half_a_second_are_an_outage)
{
    BOOST_TEST(!it.note_read(at(1000), at(1450), at(1499)));
    BOOST_TEST((it.answering_since() == at(0)));
    BOOST_TEST(it.note_read(at(2000), at(2450), at(2500)));
    BOOST_TEST((it.answering_since() == at(2500)));
}

BOOST_AUTO_TEST_CASE(a_gateway_that_hears_of_answers_while_its_own_reads_fail_sees_no_outage)
{
    for (std::int64_t ms = 1000; ms < 9000; ms += 1000) {
        BOOST_TEST(!it.note_statement(at(0), at(ms), false));
    }
    BOOST_TEST(!it.note_read(at(900), at(9000), at(9010)));
    BOOST_TEST((it.answering_since() == at(0)));
}

BOOST_AUTO_TEST_CASE(an_outage_counts_from_the_last_answer_that_another_gateway_told_of)
{
    BOOST_TEST(!it.note_statement(at(0), at(1000), false));
    BOOST_TEST(it.note_read(at(900), at(4000), at(4010)));
    BOOST_TEST((it.answering_since() == at(4010)));
}

BOOST_AUTO_TEST_CASE(an_outage_that_only_another_gateway_saw_is_none)
{
    it.note_read(never, at(1000), at(1010));
    BOOST_TEST(!it.note_statement(at(2000), at(2000), true));
    BOOST_TEST((it.answering_since() == at(0)));
    BOOST_TEST(it.can_rebut(at(2000)));
}

BOOST_AUTO_TEST_CASE(an_outage_in_which_no_read_was_due_is_one_if_nobody_had_an_answer)
{
    BOOST_TEST(it.note_statement(at(4000), at(4050), true));
    BOOST_TEST((it.answering_since() == at(4000)));
    BOOST_TEST(!it.can_rebut(at(4000)));
}

BOOST_AUTO_TEST_CASE(a_silence_in_which_another_gateway_had_answers_is_no_outage)
{
    BOOST_TEST(!it.note_statement(at(-500), at(4000), true));
    BOOST_TEST((it.answering_since() == at(-500)));
}

BOOST_AUTO_TEST_CASE(another_gateway_shows_that_the_outage_was_a_cut_of_this_one)
{
    BOOST_TEST(it.note_read(at(1000), at(4000), at(4010)));
    BOOST_TEST(!it.note_statement(at(-7000), at(3990), false));
    BOOST_TEST((it.answering_since() == at(-7000)));
}

BOOST_AUTO_TEST_CASE(another_gateway_shows_that_the_outage_ended_earlier)
{
    BOOST_TEST(it.note_read(at(1000), at(6000), at(6010)));
    BOOST_TEST(!it.note_statement(at(4000), at(6000), true));
    BOOST_TEST((it.answering_since() == at(4000)));
}

BOOST_AUTO_TEST_CASE(what_was_known_before_an_outage_does_not_deny_it)
{
    BOOST_TEST(it.note_read(at(1000), at(4000), at(4010)));
    BOOST_TEST(!it.note_statement(at(-7000), at(900), false));
    BOOST_TEST((it.answering_since() == at(4010)));
}

BOOST_AUTO_TEST_CASE(a_gateway_that_slept_does_not_vouch_for_the_time_meanwhile)
{
    BOOST_TEST(!it.note_read(never, at(4000), at(4010)));
    BOOST_TEST((it.answering_since() == at(4010)));
}

BOOST_AUTO_TEST_CASE(a_silence_in_which_nobody_looked_is_no_outage)
{
    BOOST_TEST(!it.note_statement(at(4000), at(4050), false));
}

BOOST_AUTO_TEST_CASE(a_restore_begins_anew)
{
    it.begin(at(1000));
    BOOST_TEST((it.answering_since() == at(1000)));
    BOOST_TEST(!it.note_statement(at(0), at(400), false));
    BOOST_TEST((it.answering_since() == at(1000)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
