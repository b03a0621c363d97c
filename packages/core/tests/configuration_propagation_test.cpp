#include <hemlocknotch/core/configuration_tracker.hpp>
#include <hemlocknotch/core/rendezvous.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace hemlocknotch;

namespace {

using random_engine = std::mt19937_64;

std::size_t random_below(random_engine& random, std::size_t n)
{
    return std::uniform_int_distribution<std::size_t>{0, n - 1}(random);
}

configuration_ptr create_configuration(std::uint64_t revision)
{
    auto value = std::make_shared<configuration>();
    value->revision = revision;
    value->document = std::to_string(revision);
    return value;
}

/// Entries and agents that each have a tracker. Messages on one link keep their order; links are served in
/// random order; losing a message closes its link, and a new one is opened.
class propagation_fleet {
public:
    propagation_fleet(std::size_t entries, std::size_t agents, random_engine& random)
        : random_{random}, entry_count_{entries}, trackers_(entries + agents), highest_(entries + agents)
    {
        for (std::size_t entry = 0; entry < entries; ++entry) {
            for (std::size_t agent = entries; agent < entries + agents; ++agent) {
                open_link(entry, agent);
            }
        }
    }

    /// Simulates the key-value service answering the watch of `process` with `revision`.
    void on_store_answer(std::size_t process, std::uint64_t revision)
    {
        accept(process, create_configuration(revision));
    }

    /// Closes a random link permanently, except the links of the first entry and of the last agent, which
    /// keep the fleet connected.
    void close_any_link()
    {
        const auto it =
            std::next(links_.begin(), static_cast<std::ptrdiff_t>(random_below(random_, links_.size())));
        if (it->second.first != 0 && it->second.second + 1 != trackers_.size()) {
            close_link(it->first);
        }
    }

    /// Restarts `process` with an empty state.
    void restart(std::size_t process)
    {
        for (const auto& [id, ends] : std::map{links_}) {
            if (ends.first == process || ends.second == process) {
                close_link(id);
            }
        }
        trackers_[process] = {};
        highest_[process] = 0;
        const bool is_entry = process < entry_count_;
        const std::size_t begin = is_entry ? entry_count_ : 0;
        const std::size_t end = is_entry ? trackers_.size() : entry_count_;
        for (std::size_t peer = begin; peer < end; ++peer) {
            open_link(std::min(process, peer), std::max(process, peer));
        }
    }

    /// Delivers one message of a random link, or loses it together with its link. Returns false if no message
    /// was waiting.
    bool step(bool may_lose_messages)
    {
        std::vector<std::pair<link_id, bool>> waiting;
        for (const auto& [queue, messages] : queues_) {
            if (!messages.empty()) {
                waiting.push_back(queue);
            }
        }
        if (waiting.empty()) {
            return false;
        }
        const auto [link, is_to_agent] = waiting[random_below(random_, waiting.size())];
        constexpr std::size_t one_in = 20;
        if (may_lose_messages && random_below(random_, one_in) == 0) {
            const auto [entry, agent] = links_.at(link);
            close_link(link);
            open_link(entry, agent);
            return true;
        }
        auto& messages = queues_.at({link, is_to_agent});
        const message content = messages.front();
        messages.erase(messages.begin());
        const std::size_t receiver = is_to_agent ? links_.at(link).second : links_.at(link).first;
        deliver(receiver, link, content);
        return true;
    }

    [[nodiscard]] std::uint64_t revision_of(std::size_t process) const
    {
        return trackers_[process].revision();
    }

    [[nodiscard]] std::size_t size() const { return trackers_.size(); }

    /// Returns the number of documents sent so far.
    [[nodiscard]] std::size_t document_count() const { return document_count_; }

private:
    void open_link(std::size_t entry, std::size_t agent)
    {
        const link_id link = ++last_link_;
        links_[link] = {entry, agent};
        // Each end learns the revision that the other had when it sent its hello.
        const std::uint64_t entry_revision = revision_of(entry);
        const std::uint64_t agent_revision = revision_of(agent);
        send(entry, trackers_[entry].add_link(link, agent_revision));
        send(agent, trackers_[agent].add_link(link, entry_revision));
    }

    void close_link(link_id link)
    {
        const auto [entry, agent] = links_.at(link);
        links_.erase(link);
        queues_.erase({link, true});
        queues_.erase({link, false});
        send(entry, trackers_[entry].remove_link(link));
        send(agent, trackers_[agent].remove_link(link));
    }

    void send(std::size_t sender, const std::vector<send_effect>& effects)
    {
        for (const send_effect& it : effects) {
            BOOST_REQUIRE(links_.contains(it.link));
            document_count_ += std::holds_alternative<configuration_message>(it.content) ? 1 : 0;
            queues_[{it.link, sender < entry_count_}].push_back(it.content);
        }
    }

    void deliver(std::size_t receiver, link_id link, const message& content)
    {
        configuration_tracker& tracker = trackers_[receiver];
        if (const auto* revision = std::get_if<revision_message>(&content)) {
            send(receiver, tracker.on_revision(link, revision->revision));
        }
        else if (std::holds_alternative<configuration_request_message>(content)) {
            send(receiver, tracker.on_request(link));
        }
        else if (const auto* document = std::get_if<configuration_message>(&content)) {
            if (const auto effect = tracker.on_document(*document)) {
                accept(receiver, create_configuration(effect->revision));
            }
        }
    }

    void accept(std::size_t process, const configuration_ptr& value)
    {
        send(process, trackers_[process].accept(value));
        BOOST_TEST(revision_of(process) >= highest_[process]);
        highest_[process] = revision_of(process);
    }

    random_engine& random_;
    std::size_t entry_count_;
    std::vector<configuration_tracker> trackers_;
    std::vector<std::uint64_t> highest_;
    link_id last_link_ = 0;
    std::map<link_id, std::pair<std::size_t, std::size_t>> links_;
    std::map<std::pair<link_id, bool>, std::vector<message>> queues_;
    std::size_t document_count_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_propagation_test)

BOOST_AUTO_TEST_CASE(all_converge_and_none_reverts_despite_losses_delays_and_restarts)
{
    constexpr int seed_count = 100;
    for (int seed = 1; seed <= seed_count; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            random_engine random{static_cast<random_engine::result_type>(seed)};
            propagation_fleet fleet{4, 9, random};
            std::uint64_t revision = 0;
            constexpr int step_count = 600;
            for (int n = 0; n < step_count; ++n) {
                constexpr std::size_t actions = 60;
                const std::size_t action = random_below(random, actions);
                if (action == 0) {
                    fleet.on_store_answer(random_below(random, fleet.size()), ++revision);
                }
                else if (action == 1 && revision > 0) {
                    // An old answer that reaches a watcher late.
                    fleet.on_store_answer(random_below(random, fleet.size()),
                                          1 + random_below(random, revision));
                }
                else if (action == 2) {
                    fleet.close_any_link();
                }
                else if (action == 3) {
                    fleet.restart(random_below(random, fleet.size()));
                }
                else {
                    fleet.step(true);
                }
            }
            fleet.on_store_answer(random_below(random, fleet.size()), ++revision);
            constexpr std::size_t steps_between_closures = 8;
            while (fleet.step(false)) {
                if (random_below(random, steps_between_closures) == 0) {
                    fleet.close_any_link();
                }
            }
            for (std::size_t process = 0; process < fleet.size(); ++process) {
                BOOST_TEST(fleet.revision_of(process) == revision);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(one_change_sends_few_documents_to_each_process)
{
    random_engine random{1};
    propagation_fleet fleet{20, 30, random};
    fleet.on_store_answer(0, 1);
    while (fleet.step(false)) {
    }
    BOOST_TEST(fleet.revision_of(fleet.size() - 1) == 1U);
    BOOST_TEST(fleet.document_count() <= configuration_tracker::max_open_requests * fleet.size());
}

BOOST_AUTO_TEST_CASE(few_processes_of_the_fleet_watch_the_key_value_service)
{
    // 18 failure domains of 22 entries and 139 agents.
    constexpr std::size_t domain_count = 18;
    constexpr std::size_t processes_per_domain = 161;
    constexpr std::size_t watchers_per_domain = 2;
    std::size_t watchers = 0;
    for (std::size_t domain = 0; domain < domain_count; ++domain) {
        std::vector<std::string> names;
        for (std::size_t n = 0; n < processes_per_domain; ++n) {
            names.push_back("instance-" + std::to_string(domain) + "-" + std::to_string(n));
        }
        watchers += static_cast<std::size_t>(std::count_if(names.begin(), names.end(), [&](const auto& it) {
            return is_watcher(it, names, watchers_per_domain);
        }));
    }
    BOOST_TEST(watchers == domain_count * watchers_per_domain);
}

BOOST_AUTO_TEST_SUITE_END()
