#include "process_clock.hpp"

#include <chrono>

namespace hemlocknotch::daemon {
namespace {

template <class Clock>
std::int64_t microseconds_of()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

} // namespace

process_clock::process_clock()
    : offset_{microseconds_of<std::chrono::system_clock>() - microseconds_of<std::chrono::steady_clock>()}
{
}

instant process_clock::now() const
{
    return instant{duration{microseconds_of<std::chrono::steady_clock>()}};
}

std::int64_t process_clock::wall_microseconds(instant at) const
{
    return at.time_since_epoch().count() + offset_;
}

} // namespace hemlocknotch::daemon
