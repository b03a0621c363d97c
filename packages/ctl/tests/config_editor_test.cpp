#include <hemlocknotch/core/configuration.hpp>
#include <hemlocknotch/ctl/config_editor.hpp>

#include "fake_edit_environment.hpp"
#include "fake_key_value_service.hpp"
#include "test_documents.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <optional>
#include <string>

using namespace hemlocknotch;

namespace {

struct fixture {
    fake_store store;
    fake_key_value_service service{store};
    fake_edit_environment environment{"test"};
    config_editor editor{service, environment, "ana"};
    std::optional<edit_result> result;

    config_editor::edit_callback keep()
    {
        result.reset();
        return [this](const edit_result& value) {
            BOOST_TEST(!result.has_value());
            result = value;
        };
    }

    void run()
    {
        while (service.pending_count() + environment.pending_count() > 0) {
            service.run();
            while (environment.pending_count() > 0) {
                environment.step(0);
            }
        }
        BOOST_REQUIRE(result.has_value());
    }

    edit_result apply(const std::string& document)
    {
        editor.apply({document, 0, 0}, keep());
        run();
        return *result;
    }

    edit_result take_out(const std::string& name, bool is_out_of_service = true)
    {
        editor.change_out_of_service({out_of_service_kind::failure_domain, name, is_out_of_service}, keep());
        run();
        return *result;
    }

    [[nodiscard]] configuration_envelope stored() const
    {
        const auto envelope = read_envelope(store.get(std::string{configuration_key}).value);
        BOOST_REQUIRE(envelope.has_value());
        return *envelope;
    }

    /// Lets the next calls have `faults`, one after the other, and those after them none.
    void plan(std::deque<fake_fault> faults)
    {
        service.set_fault_plan([faults = std::move(faults)]() mutable {
            if (faults.empty()) {
                return fake_fault::none;
            }
            const fake_fault next = faults.front();
            faults.pop_front();
            return next;
        });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(config_editor_test, fixture)

BOOST_AUTO_TEST_CASE(a_change_is_accepted_with_the_next_revision)
{
    BOOST_TEST((apply(make_document("one")).status == edit_status::applied));
    const edit_result second = apply(make_document("two"));
    BOOST_TEST((second.status == edit_status::applied));
    BOOST_TEST(second.revision == 2U);
    BOOST_TEST(stored().author == "ana");
    BOOST_TEST(stored().document == make_document("two"));
    BOOST_TEST((apply(make_document("two")).status == edit_status::unchanged));
}

BOOST_AUTO_TEST_CASE(a_faulty_document_reaches_no_service)
{
    const edit_result refused = apply("{}");
    BOOST_TEST((refused.status == edit_status::refused));
    BOOST_TEST(refused.errors.size() == 3U);
    BOOST_TEST(service.call_count() == 0U);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_settled_by_reading_back)
{
    apply(make_document("one"));
    // Read, keep the history, write.
    plan({fake_fault::none, fake_fault::none, fake_fault::answer_lost});
    BOOST_TEST((apply(make_document("two")).status == edit_status::applied));
    BOOST_TEST(stored().revision == 2U);
    plan({fake_fault::none, fake_fault::none, fake_fault::call_lost});
    BOOST_TEST((apply(make_document("three")).status == edit_status::applied));
    BOOST_TEST(stored().revision == 3U);
    plan({fake_fault::none, fake_fault::none, fake_fault::late});
    BOOST_TEST((apply(make_document("four")).status == edit_status::applied));
    BOOST_TEST(stored().revision == 4U);
}

BOOST_AUTO_TEST_CASE(a_service_that_is_down_is_told_from_one_that_may_have_accepted)
{
    apply(make_document("one"));
    service.set_fault_plan([] { return fake_fault::call_lost; });
    BOOST_TEST((apply(make_document("two")).status == edit_status::unavailable));
    service.set_fault_plan([] { return fake_fault::refused; });
    BOOST_TEST((apply(make_document("two")).status == edit_status::unavailable));
    service.set_fault_plan([n = 0]() mutable {
        constexpr int calls_before_write = 2;
        return ++n <= calls_before_write ? fake_fault::none : fake_fault::answer_lost;
    });
    BOOST_TEST((apply(make_document("two")).status == edit_status::unknown));
    BOOST_TEST(stored().revision == 2U);
}

BOOST_AUTO_TEST_CASE(a_rate_limit_delays_a_change)
{
    plan({fake_fault::refused, fake_fault::none, fake_fault::refused, fake_fault::refused});
    BOOST_TEST((apply(make_document("one")).status == edit_status::applied));
}

BOOST_AUTO_TEST_CASE(the_loser_of_a_race_learns_who_won_and_what_differs)
{
    apply(make_document("one"));
    fake_key_value_service other_service{store};
    config_editor other{other_service, environment, "ben"};
    std::optional<edit_result> other_result;
    other.apply({make_document("ben's"), 0, 0}, [&](const edit_result& value) { other_result = value; });
    // Ben has read; Ana is accepted before Ben writes.
    other_service.step(0);
    other_service.step(0);
    std::string heavier = make_document("ana's");
    heavier.replace(heavier.find(": 1}"), 4, ": 5}");
    BOOST_TEST((apply(heavier).status == edit_status::applied));
    other_service.run();
    BOOST_REQUIRE(other_result.has_value());
    BOOST_TEST((other_result->status == edit_status::conflict));
    BOOST_TEST(other_result->winner->author == "ana");
    BOOST_TEST(other_result->winner->revision == 2U);
    BOOST_REQUIRE(other_result->differences.size() == 1U);
    BOOST_TEST(to_string(other_result->differences.front()) == "~ client_accounts.farm.weight: 5.0 -> 1.0");
}

BOOST_AUTO_TEST_CASE(a_failure_domain_is_taken_out_and_returned_and_comments_stay)
{
    BOOST_TEST((take_out("a").status == edit_status::not_found));
    apply(make_document("a remark"));
    BOOST_TEST((take_out("a").status == edit_status::applied));
    BOOST_TEST((take_out("a").status == edit_status::unchanged));
    BOOST_TEST(read_configuration(stored().document, 1).accepted->is_out_of_service("x", "a"));
    BOOST_TEST((take_out("b", false).status == edit_status::not_found));
    BOOST_TEST((take_out("a", false).status == edit_status::applied));
    BOOST_TEST(!read_configuration(stored().document, 1).accepted->is_out_of_service("x", "a"));
    BOOST_TEST(stored().document.find("// a remark") != std::string::npos);
    BOOST_TEST(stored().revision == 3U);
}

BOOST_AUTO_TEST_CASE(a_change_of_what_is_out_of_service_runs_again_after_a_lost_race)
{
    apply(make_document("one"));
    fake_key_value_service other_service{store};
    config_editor other{other_service, environment, "ben"};
    std::optional<edit_result> other_result;
    other.change_out_of_service({out_of_service_kind::instance, "agent-1", true},
                                [&](const edit_result& value) { other_result = value; });
    other_service.step(0);
    other_service.step(0);
    apply(make_document("two"));
    other_service.run();
    BOOST_REQUIRE(other_result.has_value());
    BOOST_TEST((other_result->status == edit_status::applied));
    BOOST_TEST(other_result->revision == 3U);
    BOOST_TEST(stored().document.find("// two") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_document_that_does_not_name_what_is_out_of_service_returns_nothing)
{
    apply(make_document("one"));
    take_out("a");
    const edit_result applied = apply(make_document("two"));
    BOOST_TEST((applied.status == edit_status::applied));
    BOOST_TEST(applied.differences.empty());
    BOOST_TEST(read_configuration(stored().document, 1).accepted->is_out_of_service("x", "a"));
    BOOST_TEST((apply(make_document("two")).status == edit_status::unchanged));
}

BOOST_AUTO_TEST_CASE(a_document_made_from_an_earlier_revision_is_a_conflict)
{
    apply(make_document("one"));
    apply(make_document("two"));
    editor.apply({make_document("three"), 0, 1}, keep());
    run();
    BOOST_TEST((result->status == edit_status::conflict));
    BOOST_TEST(result->winner->revision == 2U);
    editor.apply({make_document("three"), 0, 2}, keep());
    run();
    BOOST_TEST((result->status == edit_status::applied));
}

BOOST_AUTO_TEST_CASE(earlier_revisions_are_kept_up_to_a_limit)
{
    const std::uint64_t last = retained_revisions + 5;
    for (std::uint64_t n = 1; n <= last; ++n) {
        apply(make_document(std::to_string(n)));
    }
    BOOST_TEST(store.entries().size() == retained_revisions);
    BOOST_TEST(!store.entries().contains(history_key(last - retained_revisions)));
    std::optional<current_configuration> read;
    result = edit_result{};
    editor.read_revision(last - 3, [&](const current_configuration& value) { read = value; });
    run();
    BOOST_TEST(read->envelope.document == make_document(std::to_string(last - 3)));
}

BOOST_AUTO_TEST_CASE(a_revision_can_be_raised_above_what_the_fleet_runs)
{
    editor.apply({make_document("one"), 41, 0}, keep());
    run();
    BOOST_TEST(result->revision == 42U);
}

BOOST_AUTO_TEST_CASE(a_value_that_is_no_configuration_is_replaced_only_above_a_stated_revision)
{
    store.compare_and_swap(std::string{configuration_key}, 0, "broken");
    BOOST_TEST((apply(make_document("one")).status == edit_status::unavailable));
    editor.apply({make_document("one"), 7, 0}, keep());
    run();
    BOOST_TEST((result->status == edit_status::applied));
    BOOST_TEST(stored().revision == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
