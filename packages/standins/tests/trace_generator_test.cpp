#include <hemlocknotch/standins/trace_generator.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <numeric>
#include <stdexcept>

BOOST_AUTO_TEST_SUITE(trace_generator_test)

using namespace hemlocknotch::standins;

namespace {

double model_units(const std::vector<trace_record>& records, const std::string& account)
{
    return std::accumulate(records.begin(), records.end(), 0.0, [&](double sum, const trace_record& it) {
        const bool is_counted = account.empty() || it.account == account;
        return is_counted ? sum + it.true_cost : sum;
    });
}

} // namespace

BOOST_AUTO_TEST_CASE(records_are_read_back)
{
    trace_record record;
    record.time = std::chrono::milliseconds{1250};
    record.account = "a";
    record.profile = "p";
    record.size = 7;
    record.cost_hint = 12;
    record.true_cost = 30;
    record.key = "k";
    const auto read = read_trace_record(to_line(record));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->time == record.time));
    BOOST_TEST(read->account == "a");
    BOOST_TEST(read->cost_hint.value() == 12);
    BOOST_TEST(read->true_cost == 30);
    BOOST_TEST(read->key == "k");
    BOOST_TEST(!read->is_idempotent);
    BOOST_TEST(!read_trace_record("{\"time\": 1}").has_value());
    BOOST_CHECK_THROW(read_trace("nonsense\n"), std::runtime_error);
}

BOOST_AUTO_TEST_CASE(the_seed_decides_the_trace)
{
    const auto mix = find_deployment("saadruil");
    BOOST_REQUIRE(mix.has_value());
    trace_options options;
    options.length = std::chrono::seconds{5};
    const auto first = generate_trace(*mix, options);
    const auto second = generate_trace(*mix, options);
    BOOST_REQUIRE(!first.empty());
    BOOST_TEST(first.size() == second.size());
    BOOST_TEST(to_line(first.back()) == to_line(second.back()));
    options.seed = 2;
    BOOST_TEST(to_line(generate_trace(*mix, options).back()) != to_line(first.back()));
    BOOST_TEST(!find_deployment("nowhere").has_value());
}

BOOST_AUTO_TEST_CASE(demand_is_the_stated_multiple_of_what_the_fleet_yields)
{
    for (const char* name : {"saadruil", "fassregister"}) {
        const auto mix = find_deployment(name);
        trace_options options;
        options.length = std::chrono::seconds{300};
        const double seconds = 300;
        const double expected = options.load * mix->model_units_per_second * seconds;
        const double drawn = model_units(generate_trace(*mix, options), "");
        BOOST_TEST(drawn > 0.95 * expected);
        BOOST_TEST(drawn < 1.05 * expected);
    }
}

BOOST_AUTO_TEST_CASE(a_head_start_stands_at_the_begin)
{
    const auto mix = find_deployment("saadruil");
    trace_options options;
    options.length = std::chrono::seconds{20};
    options.head_start = std::chrono::seconds{5};
    const auto records = generate_trace(*mix, options);
    const auto at_begin = std::count_if(records.begin(), records.end(),
                                        [](const trace_record& it) { return it.time == it.time.zero(); });
    BOOST_TEST(at_begin > static_cast<long>(records.size()) / 10);
    BOOST_TEST(at_begin < static_cast<long>(records.size()) / 2);
    BOOST_TEST((records.back().time < options.length));
}

BOOST_AUTO_TEST_CASE(a_flood_raises_one_account_only)
{
    const auto mix = find_deployment("fassregister");
    trace_options options;
    const double calm = model_units(generate_trace(*mix, options), "distillery-01");
    options.flood_account = "distillery-01";
    options.flood_factor = 10;
    const auto flooded = generate_trace(*mix, options);
    BOOST_TEST(model_units(flooded, "distillery-01") > 5 * calm);
    BOOST_TEST(model_units(flooded, "distillery-02") < 2 * calm);
}

BOOST_AUTO_TEST_SUITE_END()
