#include <hemlocknotch/core/fencing.hpp>

#include <cassert>

namespace hemlocknotch {

fencing_gate::fencing_gate(fencing_check check, duration lease) : check_{check}, lease_{lease}
{
    assert(lease > duration::zero());
}

void fencing_gate::on_acquired(std::uint64_t number, instant asked, instant answered,
                               bool predecessor_may_hold)
{
    assert(number > 0);
    assert(asked <= answered);
    assert(!held_ || number >= held_->number);
    held_ = fencing_token{number, asked + lease_};
    // The predecessor may have renewed up to the moment at which the number changed hands, which is not after
    // the answer.
    const bool is_wait_needed = predecessor_may_hold && check_ == fencing_check::ignored_by_engine;
    not_before_ = is_wait_needed ? answered + lease_ : asked;
}

void fencing_gate::on_renewed(instant asked)
{
    if (held_ && asked + lease_ > held_->lease_end) {
        held_->lease_end = asked + lease_;
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
