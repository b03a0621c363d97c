#include <hemlocknotch/core/entry_reducer.hpp>

#include "entry_core.hpp"

namespace hemlocknotch {

entry_reducer::entry_reducer(const entry_options& options) : state_{std::make_unique<entry_core>(options)}
{
}

entry_reducer::~entry_reducer() = default;
entry_reducer::entry_reducer(entry_reducer&&) noexcept = default;
entry_reducer& entry_reducer::operator=(entry_reducer&&) noexcept = default;

std::vector<entry_effect> entry_reducer::reduce(const entry_event& event)
{
    return state_->reduce(event);
}

const entry_state& entry_reducer::state() const
{
    return *state_;
}

} // namespace hemlocknotch
