#include "entropy_source.hpp"

namespace hemlocknotch::daemon {
namespace {

std::mt19937_64 seeded_engine()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device(), device(), device(), device(), device()};
    return std::mt19937_64{seed};
}

} // namespace

entropy_source::entropy_source() : engine_{seeded_engine()}
{
}

} // namespace hemlocknotch::daemon
