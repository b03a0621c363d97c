#include <hemlocknotch/gateway/overload_state.hpp>

#include <algorithm>
#include <utility>

namespace hemlocknotch::gateway {

bool overload_state::note(duration delay, instant now)
{
    const auto before = std::pair{is_shedding_, is_late_};
    const auto taken = std::exchange(taken_, 0);
    const auto has_refused = std::exchange(refused_before_, refused_) != refused_;
    if (delay >= shed_above) {
        limit_ = is_shedding_ ? limit_ * decrease : static_cast<double>(taken) * first_decrease;
        limit_ = std::max(1.0, limit_);
        is_shedding_ = true;
    }
    else if (is_shedding_ && delay < take_below) {
        limit_ = limit_ * increase + increase_step;
    }
    if (delay >= take_below || has_refused) {
        disturbed_at_ = now;
    }
    is_late_ = is_late_ || delay >= late_above;
    if (now - disturbed_at_ >= recovery_time) {
        is_shedding_ = false;
        is_late_ = false;
    }
    return before != std::pair{is_shedding_, is_late_};
}

bool overload_state::take_connection()
{
    if (is_shedding_ && static_cast<double>(taken_ + 1) > limit_) {
        ++refused_;
        return false;
    }
    ++taken_;
    return true;
}

} // namespace hemlocknotch::gateway
