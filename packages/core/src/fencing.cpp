#include <hemlocknotch/core/fencing.hpp>

#include <cassert>

namespace hemlocknotch {

fencing_gate::fencing_gate(fencing_check check, duration lease) : check_{check}, lease_{lease}
{
    assert(lease > duration::zero());
}

void fencing_gate::on_acquired(std::uint64_t number, instant requested, instant answered,
                               bool predecessor_may_hold)
{
    assert(number > 0);
    assert(requested <= answered);
    assert(!held_ || number >= held_->number);
    held_ = fencing_token{number, requested + lease_};
    // The predecessor may have renewed its lease until this process acquired the number, which is not later
    // than `answered`.
    const bool is_wait_needed = predecessor_may_hold && check_ == fencing_check::ignored_by_engine;
    not_before_ = is_wait_needed ? answered + lease_ : requested;
}

void fencing_gate::on_renewed(instant requested)
{
    if (held_ && requested + lease_ > held_->lease_end) {
        held_->lease_end = requested + lease_;
    }
}

void fencing_gate::on_lost()
{
    held_.reset();
}

std::optional<fencing_token> fencing_gate::token(instant now) const
{
    if (!held_ || now >= held_->lease_end || now < not_before_) {
        return std::nullopt;
    }
    return held_;
}

} // namespace hemlocknotch
