#include <hemlocknotch/standins/entry_pool.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <stdexcept>
#include <utility>

namespace hemlocknotch::standins {
namespace {

constexpr duration probe_interval = std::chrono::milliseconds{200};
constexpr double home_share = 0.8;
/// Places of a cycle of accounts whose home is the first, second and third entry.
constexpr std::array<std::size_t, 6> homes{0, 1, 0, 2, 0, 1};
constexpr int status_ok = 200;

} // namespace

balanced_entry parse_balanced_entry(std::string_view text)
{
    const auto equals = text.find('=');
    const auto comma = text.find(',');
    if (equals == std::string_view::npos || comma == std::string_view::npos || comma < equals) {
        throw std::runtime_error{"'" + std::string{text} + "' is not NAME=CALLERS,OPERATORS"};
    }
    const auto callers = endpoint_address::parse(text.substr(equals + 1, comma - equals - 1));
    const auto operators = endpoint_address::parse(text.substr(comma + 1));
    if (!callers || !operators) {
        throw std::runtime_error{"'" + std::string{text} + "' has no two addresses"};
    }
    return {std::string{text.substr(0, equals)}, *callers, *operators};
}

entry_pool::entry_pool(event_loop& loop, std::vector<balanced_entry> entries, account_spread spread,
                       std::uint64_t seed)
    : loop_{loop}, spread_{spread}, random_{seed}, probe_timer_{loop.base(), [this] { probe_all(); }}
{
    assert(!entries.empty());
    for (balanced_entry& it : entries) {
        members_.push_back({std::move(it), true, false, 0, nullptr});
    }
    probe_timer_.start(probe_interval);
}

double entry_pool::weight_of(std::size_t account, std::size_t index) const
{
    if (spread_ == account_spread::even || members_.size() == 1) {
        return 1.0;
    }
    const std::size_t home = homes.at(account % homes.size()) % members_.size();
    return index == home ? home_share : (1.0 - home_share) / static_cast<double>(members_.size() - 1);
}

const balanced_entry& entry_pool::choose(std::size_t account)
{
    const bool is_any_ready =
        std::any_of(members_.begin(), members_.end(), [](const member_state& it) { return it.is_ready; });
    std::vector<double> weights;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        weights.push_back(members_[i].is_ready || !is_any_ready ? weight_of(account, i) : 0.0);
    }
    std::discrete_distribution<std::size_t> pick{weights.begin(), weights.end()};
    return members_[pick(random_)].entry;
}

void entry_pool::probe_all()
{
    for (std::size_t i = 0; i < members_.size(); ++i) {
        member_state& it = members_[i];
        if (it.is_probing) {
            finish_probe(i, false);
        }
        it.is_probing = true;
        it.answered_status = 0;
        client_call::callbacks on;
        on.on_head = [this, i](const call_head& head) { members_[i].answered_status = head.status; };
        on.on_end = [this, i](bool is_whole) { finish_probe(i, is_whole); };
        call_request request;
        request.target = "/readyz";
        it.probe = std::make_unique<client_call>(loop_.base(), it.entry.operators, request, std::move(on));
    }
    probe_timer_.start(probe_interval);
}

void entry_pool::finish_probe(std::size_t index, bool is_whole)
{
    members_[index].is_probing = false;
    members_[index].is_ready = is_whole && members_[index].answered_status == status_ok;
}

} // namespace hemlocknotch::standins
