#include <hemlocknotch/core/fixed_concurrency_limit.hpp>

#include <cassert>

namespace hemlocknotch {

fixed_concurrency_limit::fixed_concurrency_limit(std::uint32_t limit) : limit_{limit}
{
    assert(limit_ >= 1);
}

void fixed_concurrency_limit::on_unit(instant /*now*/, duration /*interval*/, bool /*is_first*/,
                                      std::uint32_t /*running*/)
{
}

void fixed_concurrency_limit::on_completed(instant /*now*/, duration /*run_time*/, std::uint32_t /*running*/)
{
}

void fixed_concurrency_limit::on_failed(instant /*now*/)
{
}

void fixed_concurrency_limit::on_cold(instant /*now*/)
{
}

} // namespace hemlocknotch
