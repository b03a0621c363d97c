#pragma once

#include "gateway/registry_follower.hpp"
#include "test_loop.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlocknotch::daemon {

using namespace gateway;

inline registry_item endpoint(const std::string& name)
{
    return endpoint_item{{.instance = name,
                          .service = "s",
                          .address = *endpoint_address::parse("127.0.0.1:80"),
                          .failure_domain = "d",
                          .slots = 1,
                          .is_draining = false,
                          .cold_remaining = {},
                          .started_at_ms = 0,
                          .software_version = "v1"}};
}

inline registry_change written(const std::string& name, std::uint64_t revision)
{
    return {"e/" + name, revision, false, endpoint(name), name};
}

inline registry_change removed(const std::string& name, std::uint64_t revision)
{
    return {"e/" + name, revision, true, unreadable_item{}, ""};
}

/// A registry client whose answers are given by the test.
class scripted_registry_client final : public registry_client {
public:
    void read(callback done) override
    {
        ++reads;
        answers_.push_back(std::move(done));
    }

    void watch(std::uint64_t /*revision*/, duration /*wait*/, callback done) override
    {
        answers_.push_back(std::move(done));
    }

    [[nodiscard]] registry_item decode(std::string_view /*key*/, std::string_view value) const override
    {
        return endpoint(std::string{value});
    }

    void join(std::string_view /*name*/, const endpoint_address& /*at*/, duration /*ttl*/,
              callback done) override
    {
        ++joins;
        join_ = std::move(done);
    }

    void renew(std::uint64_t lease, callback done) override
    {
        renewed_lease = lease;
        renewal_ = std::move(done);
    }

    void leave(std::uint64_t lease) override { ended_leases.push_back(lease); }

    void answer_join(registry_status status, std::uint64_t lease, std::uint64_t era)
    {
        registry_answer out;
        out.status = status;
        out.lease = lease;
        out.era = era;
        std::exchange(join_, nullptr)(std::move(out));
    }

    [[nodiscard]] bool has_pending_renewal() const { return renewal_ != nullptr; }

    void answer_renewal(registry_status status, std::uint64_t era)
    {
        registry_answer out;
        out.status = status;
        out.lease = renewed_lease;
        out.era = era;
        std::exchange(renewal_, nullptr)(std::move(out));
    }

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

    [[nodiscard]] bool has_pending_call() const { return !answers_.empty(); }

    void answer(registry_status status, std::vector<registry_change> changes = {}, std::uint64_t revision = 0,
                std::uint64_t era = 0)
    {
        auto done = std::move(answers_.front());
        answers_.pop_front();
        registry_answer out;
        out.status = status;
        out.changes = std::move(changes);
        out.revision = revision;
        out.era = era;
        done(std::move(out));
    }

    int reads = 0;
    int joins = 0;
    std::uint64_t renewed_lease = 0;
    std::vector<std::uint64_t> ended_leases;

private:
    std::deque<callback> answers_;
    callback join_;
    callback renewal_;
};

/// Two followers, each with a registry client of its own, on a clock that stands still.
struct follower_fixture {
    struct member {
        explicit member(follower_fixture& owner, const std::string& name)
            : follower{owner.loop.base(),
                       client,
                       view,
                       {name, *endpoint_address::parse("127.0.0.1:1"), std::chrono::milliseconds{20}},
                       [&owner] { return owner.now; },
                       [](const registry_difference&) {},
                       [this](const log_effect& it) { log_records.push_back(it); },
                       [this](registry_update it) { published.push_back(std::move(it)); },
                       [this] { ++fetches; }}
        {
        }

        scripted_registry_client client;
        registry_view view;
        std::vector<registry_update> published;
        std::vector<log_effect> log_records;
        int fetches = 0;
        registry_follower follower;
    };

    bool wait_for_call(member& it) const
    {
        return loop.run_until([&] { return it.client.has_pending_call(); });
    }

    void start(member& it) const
    {
        it.follower.start();
        it.client.answer(registry_status::ok, {written("a", 5), written("b", 6)}, 6);
    }

    /// Returns the complete registry as `it` knows it.
    static registry_update snapshot_of(const member& it)
    {
        registry_update out;
        out.gateway = "g1";
        out.to_revision = it.view.revision();
        out.changes = it.view.snapshot();
        return out;
    }

    /// Answers the next read of `it` with `changes`, and returns the update that it publishes.
    registry_update read_and_publish(member& it, std::vector<registry_change> changes, std::uint64_t revision)
    {
        BOOST_REQUIRE(wait_for_call(it));
        it.client.answer(registry_status::ok, std::move(changes), revision);
        BOOST_REQUIRE(!it.published.empty());
        return it.published.back();
    }

    /// Lets only `reader` read the registry for 4 s, while `cut` fails to. Returns what `cut` publishes after
    /// its return, when it reads `changes`.
    registry_update cut_off_and_return(member& cut, member& reader, std::vector<registry_change> changes,
                                       std::uint64_t revision)
    {
        start(cut);
        start(reader);
        BOOST_REQUIRE(wait_for_call(cut));
        cut.client.answer(registry_status::unknown);
        for (int n = 0; n < 8; ++n) {
            now += std::chrono::milliseconds{500};
            read_and_publish(reader, {}, 6);
        }
        return read_and_publish(cut, std::move(changes), revision);
    }

    test_loop loop;
    instant now{std::chrono::seconds{100}};
    member first{*this, "g1"};
    member second{*this, "g2"};
};

} // namespace hemlocknotch::daemon
