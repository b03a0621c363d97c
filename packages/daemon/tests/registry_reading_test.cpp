#include "gateway/registry_follower.hpp"
#include "gateway/report_exchange.hpp"
#include "process_clock.hpp"
#include "test_loop.hpp"
#include "timer.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

using namespace gateway;

constexpr std::string_view member_prefix = "m/";

registry_item item_of(std::string_view key)
{
    if (key.starts_with(member_prefix)) {
        return member_item{std::string{key.substr(member_prefix.size())},
                           *endpoint_address::parse("127.0.0.1:1")};
    }
    return out_of_service_item{std::string{key}};
}

/// A registry that many gateways read.
struct shared_registry {
    void write(const std::string& key, std::size_t value_bytes)
    {
        changes.push_back({key, ++revision, false, item_of(key), std::string(value_bytes, 'x')});
    }

    /// Goes back to a copy without the registrations of gateways.
    void restore()
    {
        ++era;
        std::erase_if(changes, [](const auto& it) { return it.key.starts_with(member_prefix); });
        revision = changes.empty() ? 1 : changes.back().revision;
    }

    std::vector<registry_change> changes;
    std::uint64_t revision = 1;
    std::uint64_t era = 1;
    std::uint64_t joins = 0;
};

/// Answers reads, watches and registrations at a shared registry a millisecond later. Renewals get no answer.
class shared_registry_client final : public registry_client {
public:
    shared_registry_client(event_base* base, shared_registry& registry)
        : registry_{registry}, answers_{base, [this] { answer(); }}
    {
    }

    /// Number of reads and watches of this gateway.
    std::uint64_t calls = 0;

    void read(callback done) override { watch(0, {}, std::move(done)); }

    void watch(std::uint64_t revision, duration /*wait*/, callback done) override
    {
        ++calls;
        pending_.emplace_back(revision, std::move(done));
        answers_.start(std::chrono::milliseconds{1});
    }

    [[nodiscard]] registry_item decode(std::string_view key, std::string_view /*value*/) const override
    {
        return item_of(key);
    }

    void join(std::string_view name, const endpoint_address& /*at*/, duration /*ttl*/, callback done) override
    {
        ++registry_.joins;
        registry_.write(std::string{member_prefix} + std::string{name}, 10);
        joined_.push_back(std::move(done));
        answers_.start(std::chrono::milliseconds{1});
    }

    void renew(std::uint64_t /*lease*/, callback /*done*/) override {}

    void leave(std::uint64_t /*lease*/) override {}

    void write_block(const gateway::signature_block& /*block*/, duration /*time_to_live*/,
                     callback /*done*/) override
    {
    }

    void remove_block(const gateway::request_signature& /*signature*/, callback /*done*/) override {}

    void write_rollout(const gateway::rollout_record& /*record*/, std::uint64_t /*replaced*/,
                       callback /*done*/) override
    {
    }

    [[nodiscard]] std::uint64_t call_count() const override { return 0; }

private:
    void answer()
    {
        for (auto& done : std::exchange(joined_, {})) {
            registry_answer out;
            out.status = registry_status::ok;
            out.lease = registry_.joins;
            out.era = registry_.era;
            done(std::move(out));
        }
        for (auto& [after, done] : std::exchange(pending_, {})) {
            registry_answer out;
            out.status = registry_status::ok;
            out.revision = registry_.revision;
            out.era = registry_.era;
            for (const auto& it : registry_.changes) {
                if (it.revision > after) {
                    out.changes.push_back(it);
                }
            }
            done(std::move(out));
        }
    }

    shared_registry& registry_;
    timer answers_;
    std::vector<std::pair<std::uint64_t, callback>> pending_;
    std::vector<callback> joined_;
};

/// Gateways that send each other what they read, as datagrams. Only the first reads at intervals, so that the
/// calls of the others do not depend on how long a test takes.
struct reading_fleet {
    static constexpr std::size_t size = 30;

    struct member {
        member(reading_fleet& fleet, std::size_t number)
            : client{fleet.loop.base(), fleet.registry},
              follower{fleet.loop.base(),
                       client,
                       view,
                       {"g" + std::to_string(number), *endpoint_address::parse("127.0.0.1:1"),
                        number == 0 ? duration{std::chrono::milliseconds{50}} : std::chrono::hours{1}},
                       [&fleet] { return fleet.clock.now(); },
                       [](const registry_difference&) {},
                       [](const log_effect&) {},
                       [this, &fleet](registry_update it) { fleet.send(*this, std::move(it)); },
                       [] {}}
        {
        }

        shared_registry_client client;
        registry_view view;
        registry_follower follower;
    };

    reading_fleet()
    {
        registry.write("a", 10);
        for (std::size_t n = 0; n < size; ++n) {
            members.push_back(std::make_unique<member>(*this, n));
            members.back()->follower.start();
        }
        BOOST_REQUIRE(wait_until_current());
        begin_count();
    }

    /// Waits until nobody has a call in progress or due, and counts calls from then on.
    void begin_count()
    {
        run_for(std::chrono::milliseconds{500});
        for (const auto& it : members) {
            it->client.calls = 0;
        }
    }

    /// Returns whether each gateway but the first has made `calls` calls.
    bool have_others_called(std::uint64_t calls) const
    {
        return std::all_of(std::next(members.begin()), members.end(),
                           [&](const auto& it) { return it->client.calls == calls; });
    }

    void send(const member& from, registry_update update)
    {
        for (const auto& bytes : encode_updates(std::move(update), max_datagram_update_bytes)) {
            BOOST_TEST(bytes.size() <= 65'507U);
            for (const auto& it : members) {
                if (it.get() != &from) {
                    it->follower.apply_update(*decode_update(bytes));
                }
            }
        }
    }

    bool wait_until_current()
    {
        return loop.run_until([&] {
            return std::ranges::all_of(
                members, [&](const auto& it) { return it->view.revision() == registry.revision; });
        });
    }

    void run_for(duration time)
    {
        const auto until = clock.now() + time;
        BOOST_REQUIRE(loop.run_until([&] { return clock.now() >= until; }));
    }

    test_loop loop;
    process_clock clock;
    shared_registry registry;
    std::vector<std::unique_ptr<member>> members;
};

BOOST_FIXTURE_TEST_SUITE(registry_reading_suite, reading_fleet)

BOOST_AUTO_TEST_CASE(a_change_larger_than_a_datagram_is_read_once_by_each_gateway)
{
    registry.write("b", 100'000);
    BOOST_REQUIRE(wait_until_current());
    run_for(std::chrono::milliseconds{500});
    BOOST_TEST(have_others_called(1));
}

BOOST_AUTO_TEST_CASE(many_changes_that_exceed_a_datagram_together_are_read_by_one_gateway)
{
    for (int n = 0; n < 60; ++n) {
        registry.write("c" + std::to_string(n), 2'000);
    }
    BOOST_REQUIRE(wait_until_current());
    BOOST_TEST(have_others_called(0));
    const auto first = members[0]->view.digest();
    for (const auto& it : members) {
        BOOST_TEST(it->view.out_of_service().size() == 61U);
        BOOST_TEST(it->view.digest() == first);
    }
}

BOOST_AUTO_TEST_CASE(a_restore_is_read_and_answered_by_a_registration_once_by_each_gateway)
{
    BOOST_REQUIRE_EQUAL(registry.joins, size);
    registry.joins = 0;
    registry.restore();
    BOOST_REQUIRE(loop.run_until([&] { return registry.joins >= size; }));
    BOOST_REQUIRE(wait_until_current());
    BOOST_TEST(have_others_called(1));
    BOOST_TEST(registry.joins == size);
    for (const auto& it : members) {
        BOOST_TEST(it->view.era() == 2U);
        BOOST_TEST(it->view.members().size() == size);
        BOOST_TEST(it->follower.counters().restores == 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
