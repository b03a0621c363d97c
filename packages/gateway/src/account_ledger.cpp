#include <hemlocknotch/gateway/account_ledger.hpp>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

std::string text_of(double tokens)
{
    return std::to_string(std::llround(tokens));
}

} // namespace

void account_ledger::note_ended(std::string_view account, double cost, unsigned sends, bool is_begun)
{
    const auto found = outcomes_.find(account);
    auto& it = found != outcomes_.end()
                   ? found->second
                   : outcomes_.emplace(std::string{account}, account_outcome{}).first->second;
    it.requested += cost;
    it.sent += cost * sends;
    (is_begun ? it.begun : sends > 0 ? it.lost : it.unsent) += cost;
}

std::optional<log_effect> account_ledger::take_record(instant now)
{
    if (now - taken_at_ < interval) {
        return std::nullopt;
    }
    taken_at_ = now;
    const auto outcomes = std::exchange(outcomes_, {});
    if (outcomes.empty()) {
        return std::nullopt;
    }
    std::vector<std::pair<std::string_view, account_outcome>> most{outcomes.begin(), outcomes.end()};
    const auto count = std::min(max_accounts, most.size());
    std::ranges::partial_sort(most, most.begin() + static_cast<std::ptrdiff_t>(count), std::ranges::greater{},
                              [](const auto& it) { return it.second.requested; });
    most.resize(count);
    std::string text;
    for (const auto& [account, it] : most) {
        text += text.empty() ? "" : " ";
        text += account;
        for (const auto tokens : {it.requested, it.sent, it.begun, it.lost, it.unsent}) {
            text += "/" + text_of(tokens);
        }
    }
    return log_effect{log_level::info, "account-tokens", {{"accounts", std::move(text)}}};
}

} // namespace hemlocknotch::gateway
