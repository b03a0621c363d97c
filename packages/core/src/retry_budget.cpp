#include "retry_budget.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace hemlocknotch {

retry_budget::retry_budget(double share, instant now) : share_{share}, refilled_at_{now}
{
    assert(share >= 0.0);
}

void retry_budget::on_request()
{
    tokens_ = std::min(max_tokens, tokens_ + share_);
}

bool retry_budget::try_spend(instant now)
{
    const std::chrono::duration<double> elapsed = now - refilled_at_;
    refilled_at_ = now;
    if (tokens_ < reserve_tokens) {
        tokens_ = std::min(reserve_tokens, tokens_ + elapsed.count() * reserve_per_second);
    }
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

duration jittered_backoff(duration base, duration limit, unsigned n, double fraction)
{
    assert(n >= 1);
    constexpr unsigned max_doublings = 20;
    const auto doubled = base * (1LL << std::min(n - 1, max_doublings));
    const duration backoff = std::min<duration>(doubled, limit);
    return std::chrono::duration_cast<duration>(backoff * (0.5 + fraction / 2.0));
}

} // namespace hemlocknotch
