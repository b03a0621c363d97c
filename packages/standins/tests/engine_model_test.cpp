#include <hemlocknotch/standins/engine_model.hpp>

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(engine_model_test)

using hemlocknotch::standins::engine_model;
using hemlocknotch::standins::engine_options;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(capacity_grows_with_work_only)
{
    const engine_options options;
    engine_model model{options};
    BOOST_TEST(model.capacity() == options.cold_capacity);
    BOOST_TEST(!model.advance(options.warm_up, 0));
    BOOST_TEST(model.capacity() == options.cold_capacity);
    BOOST_TEST(!model.advance(options.warm_up / 2, 2));
    BOOST_TEST(model.capacity() == (options.cold_capacity + options.warm_capacity) / 2);
    BOOST_TEST(!model.advance(options.warm_up, 2));
    BOOST_TEST(model.capacity() == options.warm_capacity);
    model.go_cold();
    BOOST_TEST(model.capacity() == options.cold_capacity);
}

BOOST_AUTO_TEST_CASE(step_time_is_linear_up_to_the_capacity_and_steep_above)
{
    engine_model model{engine_options{}};
    model.go_warm();
    BOOST_TEST((model.step_time(0) == 20ms));
    BOOST_TEST((model.step_time(16) - model.step_time(15) <= model.step_time(1) - model.step_time(0) + 1us));
    BOOST_TEST((model.step_time(32) > 8 * model.step_time(16)));
}

BOOST_AUTO_TEST_CASE(lasting_overload_fails_and_a_short_one_does_not)
{
    engine_model model{engine_options{}};
    BOOST_TEST(!model.advance(900ms, 8));
    BOOST_TEST(!model.advance(10ms, 1));
    BOOST_TEST(!model.advance(900ms, 8));
    BOOST_TEST(model.advance(200ms, 8));
}

BOOST_AUTO_TEST_SUITE_END()
