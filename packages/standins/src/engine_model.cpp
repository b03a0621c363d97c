#include <hemlocknotch/standins/engine_model.hpp>

#include <algorithm>
#include <cassert>

namespace hemlocknotch::standins {

engine_model::engine_model(const engine_options& options) : options_{options}
{
    assert(options.cold_capacity > 0 && options.cold_capacity <= options.warm_capacity);
    assert(options.warm_up > duration::zero() && options.base_step > duration::zero());
}

double engine_model::capacity() const
{
    const double warmth =
        std::min(1.0, static_cast<double>(worked_.count()) / static_cast<double>(options_.warm_up.count()));
    return options_.cold_capacity + (options_.warm_capacity - options_.cold_capacity) * warmth;
}

duration engine_model::step_time(std::size_t batch) const
{
    const auto load = static_cast<double>(batch);
    const double excess = std::max(1.0, load / capacity());
    const double factor = (1.0 + options_.step_growth * load) * excess * excess * excess;
    return duration{static_cast<duration::rep>(static_cast<double>(options_.base_step.count()) * factor)};
}

bool engine_model::advance(duration elapsed, std::size_t batch)
{
    const bool is_overloaded = static_cast<double>(batch) > options_.failing_load * capacity();
    overloaded_ = is_overloaded ? overloaded_ + elapsed : duration::zero();
    if (batch > 0) {
        worked_ += elapsed;
    }
    return overloaded_ > options_.failing_after;
}

void engine_model::go_cold()
{
    worked_ = duration::zero();
    overloaded_ = duration::zero();
}

void engine_model::go_warm()
{
    worked_ = options_.warm_up;
}

} // namespace hemlocknotch::standins
