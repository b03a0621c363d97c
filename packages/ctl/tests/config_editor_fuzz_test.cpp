#include <hemlocknotch/ctl/config_editor.hpp>

#include "fake_edit_environment.hpp"
#include "fake_key_value_service.hpp"
#include "test_documents.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace hemlocknotch;

namespace {

constexpr int seed_count = 400;
constexpr int edits_per_seed = 12;

using random_engine = std::mt19937_64;

std::size_t below(random_engine& random, std::size_t n)
{
    return std::uniform_int_distribution<std::size_t>{0, n - 1}(random);
}

fake_fault draw_fault(random_engine& random)
{
    constexpr std::size_t sides = 10;
    switch (below(random, sides)) {
    case 0:
        return fake_fault::refused;
    case 1:
        return fake_fault::call_lost;
    case 2:
        return fake_fault::answer_lost;
    case 3:
        return fake_fault::late;
    default:
        return fake_fault::none;
    }
}

/// One operator's edit with a connection of its own.
struct edit {
    edit(fake_store& store, random_engine& random, int number)
        : service{store},
          environment{"edit-" + std::to_string(number)},
          editor{service, environment, environment_name(number)}
    {
        service.set_fault_plan([&random] { return draw_fault(random); });
    }

    static std::string environment_name(int number) { return "edit-" + std::to_string(number); }

    void start(random_engine& random, int number)
    {
        const auto keep = [this](const edit_result& value) {
            BOOST_TEST(!result.has_value());
            result = value;
        };
        is_apply = below(random, 2) == 0;
        if (is_apply) {
            editor.apply({make_document(environment_name(number)), 0, 0}, keep);
            return;
        }
        const std::string name = "domain-" + std::to_string(below(random, 3));
        editor.change_out_of_service({out_of_service_kind::failure_domain, name, below(random, 3) > 0}, keep);
    }

    [[nodiscard]] std::size_t pending_count() const
    {
        return service.pending_count() + environment.pending_count();
    }

    void step(std::size_t n)
    {
        if (n < service.pending_count()) {
            service.step(n);
        }
        else {
            environment.step(n - service.pending_count());
        }
    }

    fake_key_value_service service;
    fake_edit_environment environment;
    config_editor editor;
    bool is_apply = false;
    std::optional<edit_result> result;
};

/// Steps a random pending call or timer of a random edit. Returns whether there was one.
bool step_any(std::vector<std::unique_ptr<edit>>& edits, random_engine& random)
{
    std::size_t pending = 0;
    for (const auto& it : edits) {
        pending += it->pending_count();
    }
    if (pending == 0) {
        return false;
    }
    std::size_t n = below(random, pending);
    for (const auto& it : edits) {
        if (n < it->pending_count()) {
            it->step(n);
            break;
        }
        n -= it->pending_count();
    }
    return true;
}

/// Returns the accepted configurations, in order.
std::vector<configuration_envelope> accepted_chain(const fake_store& store)
{
    std::vector<configuration_envelope> chain;
    for (const auto& [key, value] : store.writes()) {
        if (key == configuration_key) {
            chain.push_back(read_envelope(value).value());
        }
    }
    return chain;
}

/// Checks that each revision follows the one before it, and that a change of what is out of service changed
/// nothing else.
void check_chain(const std::vector<configuration_envelope>& chain, const std::map<std::string, bool>& applies)
{
    configuration_ptr before;
    for (const configuration_envelope& it : chain) {
        const configuration_ptr after = read_configuration(it.document, it.revision).accepted;
        BOOST_REQUIRE(after);
        BOOST_TEST(it.revision == (before ? before->revision : 0) + 1);
        if (!applies.at(it.author)) {
            const auto differences = compare_configurations(before, after);
            BOOST_REQUIRE(differences.size() == 1U);
            BOOST_TEST(differences.front().path.starts_with("out_of_service."));
        }
        before = after;
    }
}

/// Checks what the operator of `value` was told against what was accepted.
void check_result(const edit& value, const std::vector<configuration_envelope>& chain)
{
    BOOST_REQUIRE(value.result.has_value());
    std::size_t accepted = 0;
    for (const std::string& change : value.environment.changes()) {
        accepted += static_cast<std::size_t>(
            std::count_if(chain.begin(), chain.end(), [&](const auto& it) { return it.change == change; }));
    }
    BOOST_TEST(accepted <= 1U);
    switch (value.result->status) {
    case edit_status::applied:
        BOOST_TEST(accepted == 1U);
        break;
    case edit_status::unknown:
        break;
    default:
        BOOST_TEST(accepted == 0U, to_string(value.result->status) << " was told of an accepted change");
        break;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_editor_fuzz_test)

BOOST_AUTO_TEST_CASE(racing_editors_are_told_the_truth)
{
    std::map<edit_status, int> counts;
    for (int seed = 1; seed <= seed_count; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            random_engine random{static_cast<random_engine::result_type>(seed)};
            fake_store store;
            std::vector<std::unique_ptr<edit>> edits;
            while (edits.size() < edits_per_seed || step_any(edits, random)) {
                constexpr std::size_t steps_between_edits = 6;
                if (edits.size() < edits_per_seed && below(random, steps_between_edits) == 0) {
                    const int number = static_cast<int>(edits.size());
                    edits.push_back(std::make_unique<edit>(store, random, number));
                    edits.back()->start(random, number);
                }
                step_any(edits, random);
            }
            const std::vector<configuration_envelope> chain = accepted_chain(store);
            std::map<std::string, bool> applies;
            for (std::size_t n = 0; n < edits.size(); ++n) {
                applies[edit::environment_name(static_cast<int>(n))] = edits[n]->is_apply;
            }
            check_chain(chain, applies);
            for (const auto& it : edits) {
                check_result(*it, chain);
                ++counts[it->result->status];
            }
        }
    }
    // The faults must have led to each of the outcomes, or the run has shown nothing.
    for (const edit_status status : {edit_status::applied, edit_status::conflict, edit_status::unknown,
                                     edit_status::unavailable, edit_status::not_found}) {
        BOOST_TEST(counts[status] > 0, to_string(status) << " never came about");
    }
}

BOOST_AUTO_TEST_SUITE_END()
