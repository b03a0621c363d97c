#include <hemlocknotch/gateway/rollout_table.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Roll-outs carried out by fleets of gateways that exchange reports and share a registry.
namespace hemlocknotch::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step = milliseconds{50};
constexpr duration report_period = milliseconds{500};
constexpr duration rollback_bound = seconds{5};
constexpr std::uint64_t counted_bad = 50;
constexpr double exposure_share = 0.1;
constexpr double exposure_slack = 50.0;

/// A fleet, its load and what goes wrong.
struct rollout_case {
    std::size_t gateways = 4;
    /// Requests per second of the service, over all gateways.
    double requests_per_second = 700.0;
    duration time_limit = seconds{30};
    int endpoints = 20;
    /// Share of bad answers of the new and of the present version at a time since the order, on a route from
    /// 0 to 4, in a failure domain from 0 to 2.
    std::function<double(duration, int route, int domain)> new_share;
    std::function<double(duration, int route, int domain)> present_share;
    double report_loss = 0.0;
    /// At `fault_at`, half of the gateways stand still, or lose the others and the registry, for `fault_for`,
    /// or start anew.
    duration fault_at = duration::max();
    duration fault_for{};
    bool is_restart = false;
    bool is_cut = false;
    unsigned seed = 1;
};

struct rollout_result {
    rollout_phase phase = rollout_phase::observing;
    /// Time from the order to the end.
    duration ended_after{};
    std::uint64_t exposed = 0;
    std::uint64_t requests = 0;
    std::uint64_t bad = 0;
    /// Requests that reached the new version later than the bound after its counted bad answer.
    std::uint64_t late = 0;

    [[nodiscard]] bool is_within_exposure() const
    {
        return static_cast<double>(exposed) <=
               exposure_share * static_cast<double>(requests) + exposure_slack;
    }
};

class rollout_fleet {
public:
    explicit rollout_fleet(const rollout_case& options) : options_{options}, random_{options.seed}
    {
        for (std::size_t n = 0; n < options_.gateways; ++n) {
            names_.insert("g" + std::to_string(n));
        }
        for (int n = 0; n < options_.endpoints; ++n) {
            for (const auto* version : {"v1", "v2"}) {
                records_.push_back({.instance = std::string{version} + "-" + std::to_string(n),
                                    .service = "s",
                                    .address = *endpoint_address::parse("127.0.0.1:80"),
                                    .failure_domain = "d" + std::to_string(n % 3),
                                    .slots = 64,
                                    .is_draining = false,
                                    .cold_remaining = {},
                                    .started_at_ms = 1,
                                    .software_version = version});
            }
        }
        registered_.orders.push_back({{"s", "v2", options_.time_limit}, 7});
        registered_.as_of = {1, 7};
        for (const auto& name : names_) {
            gateways_.push_back(create(name));
        }
    }

    rollout_result run()
    {
        rollout_result out;
        auto counted_at = instant::max();
        for (auto passed = duration::zero(); passed < options_.time_limit; passed += step) {
            now_ = began_ + passed;
            if (passed == options_.fault_at && options_.is_restart) {
                restart_half();
            }
            for (std::size_t n = 0; n < gateways_.size(); ++n) {
                if (!is_frozen(n)) {
                    run_gateway(n, passed, out, counted_at);
                }
            }
            deliver();
            if (out.bad >= counted_bad) {
                counted_at = std::min(counted_at, now_);
            }
            if (!registered_.records.empty() && is_final(registered_.records.front().record.phase) &&
                out.phase == rollout_phase::observing) {
                out.phase = registered_.records.front().record.phase;
                out.ended_after = passed;
            }
        }
        return out;
    }

private:
    struct message {
        instant at;
        std::size_t to = 0;
        rollout_report report;
    };

    std::unique_ptr<rollout_table> create(const std::string& name)
    {
        auto out = std::make_unique<rollout_table>(name, exposure_share);
        auto others = names_;
        others.erase(name);
        out->set_others(others);
        out->set_endpoints(records_);
        out->set_registered(registered_, now_);
        return out;
    }

    [[nodiscard]] bool is_in_fault(std::size_t n) const
    {
        const auto passed = now_ - began_;
        return n % 2 == 1 && passed >= options_.fault_at && passed < options_.fault_at + options_.fault_for;
    }

    [[nodiscard]] bool is_frozen(std::size_t n) const { return is_in_fault(n) && !options_.is_cut; }

    [[nodiscard]] bool is_cut(std::size_t n) const { return is_in_fault(n) && options_.is_cut; }

    void restart_half()
    {
        std::size_t n = 0;
        for (const auto& name : names_) {
            if (n % 2 == 1) {
                gateways_[n] = create(name);
            }
            ++n;
        }
    }

    void run_gateway(std::size_t n, duration passed, rollout_result& out, instant counted_at)
    {
        auto& table = *gateways_[n];
        if (!is_cut(n) && known_revision_[n] != registered_.as_of.revision &&
            now_ >= written_at_ + milliseconds{300}) {
            table.set_registered(registered_, now_);
            known_revision_[n] = registered_.as_of.revision;
        }
        const auto mean = options_.requests_per_second * 0.05 / static_cast<double>(gateways_.size());
        const auto count = std::poisson_distribution<int>{mean}(random_);
        for (int k = 0; k < count; ++k) {
            send(n, passed, out, counted_at);
        }
        table.update(now_);
        const auto is_urgent = table.take_urgency();
        if (is_urgent || now_ >= next_report_[n]) {
            next_report_[n] = now_ + report_period;
            report(n, is_urgent);
        }
        if (!is_cut(n)) {
            write(n);
        }
    }

    void send(std::size_t n, duration passed, rollout_result& out, instant counted_at)
    {
        auto* plan = gateways_[n]->find("s");
        const auto draw = std::uniform_real_distribution<double>{}(random_);
        const auto choice = plan->choose(draw, true, now_);
        std::vector<std::size_t> usable;
        for (std::size_t e = 0; e < records_.size(); ++e) {
            const auto& it = records_[e];
            const auto is_avoided =
                std::ranges::find(choice.avoided, it.software_version) != choice.avoided.end();
            const auto is_chosen = choice.only == nullptr ? !is_avoided
                                                          : it.software_version == *choice.only &&
                                                                (choice.instances == nullptr ||
                                                                 choice.instances->contains(it.instance));
            if (is_chosen) {
                usable.push_back(e);
            }
        }
        BOOST_REQUIRE(!usable.empty());
        const auto chosen = usable[std::uniform_int_distribution<std::size_t>{0, usable.size() - 1}(random_)];
        const auto& endpoint = records_[chosen];
        plan->note_sent(endpoint.software_version);
        const auto is_new = endpoint.software_version == "v2";
        ++out.requests;
        out.exposed += is_new ? 1U : 0U;
        if (is_new && counted_at != instant::max() && now_ > counted_at + rollback_bound) {
            ++out.late;
        }
        const auto route = std::uniform_int_distribution{0, 4}(random_);
        const auto domain = endpoint.failure_domain.back() - '0';
        const auto share = is_new ? options_.new_share(passed, route, domain)
                                  : options_.present_share(passed, route, domain);
        const auto is_bad = std::bernoulli_distribution{share}(random_);
        out.bad += is_new && is_bad ? 1U : 0U;
        plan->note_answer(endpoint, "r" + std::to_string(route), is_bad);
    }

    void report(std::size_t n, bool is_urgent)
    {
        auto report = gateways_[n]->create_report(now_);
        if (report.services.empty() || is_cut(n)) {
            return;
        }
        const auto judges = gateways_[n]->judges(now_);
        std::size_t to = 0;
        for (const auto& name : names_) {
            const auto is_receiver = is_urgent || std::ranges::find(judges, name) != judges.end();
            if (to != n && is_receiver && !std::bernoulli_distribution{options_.report_loss}(random_)) {
                messages_.push_back({now_ + milliseconds{2}, to, report});
            }
            ++to;
        }
    }

    void deliver()
    {
        for (auto& it : std::exchange(messages_, {})) {
            if (is_cut(it.to)) {
                continue;
            }
            if (is_frozen(it.to)) {
                messages_.push_back(std::move(it));
                continue;
            }
            gateways_[it.to]->apply_report(it.report, now_);
        }
    }

    void write(std::size_t n)
    {
        for (const auto& it : gateways_[n]->take_writes(now_)) {
            const auto present = registered_.records.empty() ? 0 : registered_.records.front().revision;
            if (it.replaced.revision != present) {
                continue;
            }
            const auto revision = ++registered_.as_of.revision;
            registered_.records = {{it.record, revision}};
            written_at_ = now_;
            gateways_[n]->note_written(it.record, {1, revision}, now_);
        }
    }

    rollout_case options_;
    std::minstd_rand random_;
    instant began_{seconds{1000}};
    instant now_ = began_;
    std::set<std::string, std::less<>> names_;
    std::vector<endpoint_record> records_;
    registered_rollouts registered_;
    instant written_at_{};
    std::vector<std::unique_ptr<rollout_table>> gateways_;
    std::map<std::size_t, instant> next_report_;
    std::map<std::size_t, std::uint64_t> known_revision_;
    std::deque<message> messages_;
};

rollout_result play(const rollout_case& options)
{
    return rollout_fleet{options}.run();
}

auto always(double share)
{
    return [share](duration, int, int) { return share; };
}

rollout_case case_of(std::size_t gateways)
{
    rollout_case out;
    out.gateways = gateways;
    out.requests_per_second = std::max(700.0, static_cast<double>(gateways) * 10.0);
    out.new_share = always(0.01);
    out.present_share = always(0.01);
    return out;
}

void check_rolled_back(const rollout_case& options)
{
    const auto result = play(options);
    BOOST_TEST_CONTEXT("gateways " << options.gateways << " seed " << options.seed)
    {
        BOOST_CHECK(result.phase == rollout_phase::rolled_back);
        BOOST_CHECK(result.is_within_exposure());
        BOOST_CHECK_EQUAL(result.late, 0U);
    }
}

void check_completed(const rollout_case& options)
{
    const auto result = play(options);
    BOOST_TEST_CONTEXT("gateways " << options.gateways << " seed " << options.seed)
    {
        BOOST_CHECK(result.phase == rollout_phase::completed);
        BOOST_CHECK(result.ended_after < options.time_limit);
    }
}

constexpr std::size_t fleet_sizes[] = {4, 24, 103, 400};

} // namespace

BOOST_AUTO_TEST_SUITE(rollout_fleet_suite)

BOOST_AUTO_TEST_CASE(a_good_version_is_completed_by_fleets_of_any_size)
{
    for (const auto gateways : fleet_sizes) {
        check_completed(case_of(gateways));
    }
}

/// Guards against false rollbacks, also where the present version has bad answers.
BOOST_AUTO_TEST_CASE(a_good_version_is_never_rolled_back)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        auto options = case_of(4);
        options.seed = seed;
        options.new_share = always(0.05);
        options.present_share = always(0.05);
        check_completed(options);
    }
}

BOOST_AUTO_TEST_CASE(a_version_that_is_bad_from_the_start_is_rolled_back_in_time)
{
    for (const auto gateways : fleet_sizes) {
        auto options = case_of(gateways);
        options.new_share = always(0.3);
        check_rolled_back(options);
    }
}

BOOST_AUTO_TEST_CASE(a_version_that_turns_bad_late_while_it_is_observed_is_rolled_back_in_time)
{
    for (const auto gateways : fleet_sizes) {
        auto options = case_of(gateways);
        options.new_share = [](duration passed, int, int) { return passed < seconds{12} ? 0.01 : 0.3; };
        check_rolled_back(options);
    }
}

/// Guards against a version that passes with a tenth of the requests and fails with more.
BOOST_AUTO_TEST_CASE(a_version_that_is_bad_beyond_a_load_is_rolled_back_within_its_exposure)
{
    for (const auto gateways : {std::size_t{4}, std::size_t{24}, std::size_t{103}}) {
        auto options = case_of(gateways);
        options.new_share = [](duration passed, int, int) {
            // The ramp begins at half of the time limit of 30 s and lasts 3 s.
            return passed < milliseconds{15'500} ? 0.01 : 0.5;
        };
        check_rolled_back(options);
    }
}

BOOST_AUTO_TEST_CASE(a_version_that_is_bad_on_one_route_of_five_is_rolled_back_in_time)
{
    for (const auto gateways : fleet_sizes) {
        auto options = case_of(gateways);
        options.new_share = [](duration, int route, int) { return route == 3 ? 0.4 : 0.01; };
        check_rolled_back(options);
    }
}

BOOST_AUTO_TEST_CASE(a_version_that_is_bad_in_one_failure_domain_is_rolled_back_in_time)
{
    auto options = case_of(24);
    options.new_share = [](duration, int, int domain) { return domain == 0 ? 0.5 : 0.01; };
    check_rolled_back(options);
}

/// Guards against a rollback for trouble that meets the present version as well.
BOOST_AUTO_TEST_CASE(a_version_is_not_blamed_for_a_failure_domain_in_trouble)
{
    for (const auto gateways : {std::size_t{4}, std::size_t{24}, std::size_t{103}}) {
        auto options = case_of(gateways);
        const auto share = [](duration passed, int domain) {
            return domain == 1 && passed > seconds{4} && passed < seconds{7} ? 0.7 : 0.01;
        };
        options.new_share = [share](duration passed, int, int domain) { return share(passed, domain); };
        options.present_share = [share](duration passed, int, int domain) { return share(passed, domain); };
        check_completed(options);
    }
}

BOOST_AUTO_TEST_CASE(half_of_the_gateways_frozen_cut_or_restarted_changes_no_outcome)
{
    for (const auto gateways : {std::size_t{4}, std::size_t{24}}) {
        for (const auto at : {seconds{0}, seconds{3}, seconds{14}, seconds{16}}) {
            for (const auto fault : {0, 1, 2}) {
                auto options = case_of(gateways);
                options.fault_at = at;
                options.fault_for = seconds{2};
                options.is_cut = fault == 1;
                options.is_restart = fault == 2;
                if (options.is_restart) {
                    options.fault_for = duration::zero();
                }
                check_completed(options);
                options.new_share = always(0.3);
                check_rolled_back(options);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(lost_reports_change_no_outcome)
{
    for (const auto gateways : {std::size_t{4}, std::size_t{24}, std::size_t{103}}) {
        auto options = case_of(gateways);
        options.report_loss = 0.4;
        check_completed(options);
        options.new_share = always(0.3);
        check_rolled_back(options);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::gateway
