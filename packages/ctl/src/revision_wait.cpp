#include "revision_wait.hpp"

#include <algorithm>
#include <chrono>

namespace hemlocknotch {
namespace {

namespace leaf = boost::leaf;

constexpr std::chrono::milliseconds ask_interval{250};
constexpr std::size_t max_named = 5;

std::string describe_progress(std::size_t live, const std::vector<std::string>& behind,
                              std::uint64_t revision)
{
    std::string text = std::to_string(live - behind.size()) + " of " + std::to_string(live) +
                       " live daemons run revision " + std::to_string(revision);
    for (std::size_t n = 0; n < std::min(behind.size(), max_named); ++n) {
        text += (n == 0 ? "; waiting for " : ", ") + behind[n];
    }
    if (behind.size() > max_named) {
        text += " and " + std::to_string(behind.size() - max_named) + " more";
    }
    return text;
}

} // namespace

std::vector<std::string> daemons_behind(std::span<const observed_daemon> daemons, std::uint64_t revision)
{
    std::vector<std::string> behind;
    for (const observed_daemon& it : daemons) {
        const std::string& name = it.instance.process.name;
        if (it.instance.process.state != member_state::live) {
            continue;
        }
        if (!it.instance.operators) {
            behind.push_back(name + " (no operators' address in the instance list)");
        }
        else if (!it.status) {
            behind.push_back(name + " (no answer)");
        }
        else if (it.status->revision < revision) {
            behind.push_back(name + " (revision " + std::to_string(it.status->revision) + ")");
        }
    }
    return behind;
}

leaf::result<exit_code> wait_for_revision(command_context& context, std::uint64_t revision, duration limit,
                                          std::ostream& err)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    std::string told;
    while (true) {
        BOOST_LEAF_AUTO(daemons, read_fleet(context));
        const auto live =
            static_cast<std::size_t>(std::count_if(daemons.begin(), daemons.end(), [](const auto& it) {
                return it.instance.process.state == member_state::live;
            }));
        const std::vector<std::string> behind = daemons_behind(daemons, revision);
        const std::string progress = describe_progress(live, behind, revision);
        if (progress != told) {
            err << progress << '\n' << std::flush;
            told = progress;
        }
        if (behind.empty()) {
            return exit_code::done;
        }
        if (std::chrono::steady_clock::now() >= end) {
            err << "The revision was accepted, but is not in force everywhere yet.\n";
            return exit_code::not_everywhere;
        }
        context.sleep(ask_interval);
    }
}

} // namespace hemlocknotch
