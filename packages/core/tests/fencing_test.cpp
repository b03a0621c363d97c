#include <hemlocknotch/core/fencing.hpp>

#include <boost/test/unit_test.hpp>

using hemlocknotch::fencing_check;
using hemlocknotch::fencing_gate;
using hemlocknotch::instant;
using std::chrono::seconds;

namespace {

constexpr seconds lease{10};
constexpr instant start{seconds{100}};

} // namespace

BOOST_AUTO_TEST_SUITE(fencing_test)

BOOST_AUTO_TEST_CASE(nobody_gives_an_order_without_a_number)
{
    fencing_gate gate{fencing_check::checked_by_engine, lease};
    BOOST_TEST(!gate.token(start).has_value());
    gate.on_renewed(start);
    BOOST_TEST(!gate.token(start).has_value());
}

BOOST_AUTO_TEST_CASE(a_holder_paused_past_its_lease_gives_no_order)
{
    fencing_gate gate{fencing_check::checked_by_engine, lease};
    gate.on_acquired(7, start, start + seconds{1}, true);
    BOOST_TEST(gate.token(start + seconds{1})->number == 7U);
    BOOST_TEST(gate.token(start + lease - seconds{1}).has_value());
    BOOST_TEST(!gate.token(start + lease).has_value());
    gate.on_renewed(start + seconds{2});
    BOOST_TEST(gate.token(start + lease + seconds{1}).has_value());
    BOOST_TEST(!gate.token(start + lease + seconds{2}).has_value());
}

BOOST_AUTO_TEST_CASE(a_late_answer_to_an_earlier_renewal_does_not_shorten_the_lease)
{
    fencing_gate gate{fencing_check::checked_by_engine, lease};
    gate.on_acquired(1, start, start, false);
    gate.on_renewed(start + seconds{8});
    gate.on_renewed(start + seconds{4});
    BOOST_TEST(gate.token(start + seconds{17}).has_value());
}

BOOST_AUTO_TEST_CASE(the_lease_of_the_predecessor_is_waited_out_where_the_engine_does_not_check)
{
    fencing_gate gate{fencing_check::ignored_by_engine, lease};
    const instant answered = start + seconds{2};
    gate.on_acquired(2, start, answered, true);
    gate.on_renewed(start + seconds{6});
    BOOST_TEST(!gate.token(answered).has_value());
    // A predecessor that renewed just before the number changed hands holds on until then.
    BOOST_TEST(!gate.token(answered + lease - seconds{1}).has_value());
    BOOST_TEST(gate.token(answered + lease).has_value());
}

BOOST_AUTO_TEST_CASE(the_first_holder_waits_for_nobody)
{
    fencing_gate gate{fencing_check::ignored_by_engine, lease};
    gate.on_acquired(1, start, start + seconds{1}, false);
    BOOST_TEST(gate.token(start + seconds{1}).has_value());
}

BOOST_AUTO_TEST_CASE(a_lost_number_gives_no_order)
{
    fencing_gate gate{fencing_check::checked_by_engine, lease};
    gate.on_acquired(3, start, start, true);
    gate.on_lost();
    BOOST_TEST(!gate.token(start + seconds{1}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
