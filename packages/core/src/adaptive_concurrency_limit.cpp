#include <hemlocknotch/core/adaptive_concurrency_limit.hpp>

#include <algorithm>
#include <cassert>

namespace hemlocknotch {

adaptive_concurrency_limit::adaptive_concurrency_limit(const adaptive_limit_options& options)
    : options_{options}, limit_{static_cast<double>(options.initial_limit)}
{
    assert(options_.initial_limit >= 1);
    assert(options_.initial_limit <= options_.max_limit);
}

std::uint32_t adaptive_concurrency_limit::limit() const
{
    return static_cast<std::uint32_t>(limit_);
}

void adaptive_concurrency_limit::on_unit(instant /*now*/, duration /*interval*/, bool /*is_first*/,
                                         std::uint32_t /*running*/)
{
}

void adaptive_concurrency_limit::on_completed(instant /*now*/, duration /*run_time*/, std::uint32_t running)
{
    if (running >= limit()) {
        limit_ = std::min(limit_ + 1.0, static_cast<double>(options_.max_limit));
    }
}

void adaptive_concurrency_limit::on_failed(instant /*now*/)
{
    limit_ = std::max(1.0, limit_ / 2.0);
}

void adaptive_concurrency_limit::on_cold(instant /*now*/)
{
    limit_ = static_cast<double>(options_.initial_limit);
}

} // namespace hemlocknotch
