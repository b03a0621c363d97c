#include <hemlocknotch/gateway/answer_memory.hpp>

#include <cassert>
#include <utility>

namespace hemlocknotch::gateway {

bool answer_memory::replace(std::size_t before, std::size_t after)
{
    assert(total_ >= before);
    holders_ += after > 0 ? 1U : 0U;
    holders_ -= before > 0 ? 1U : 0U;
    total_ += after;
    total_ -= before;
    return after <= before || total_ <= max_bytes_ || after <= max_bytes_ / holders_;
}

bool answer_holding::set(std::size_t bytes)
{
    return memory_.replace(std::exchange(bytes_, bytes), bytes);
}

} // namespace hemlocknotch::gateway
