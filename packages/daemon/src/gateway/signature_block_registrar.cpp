#include "signature_block_registrar.hpp"

namespace hemlocknotch::daemon {

void signature_block_registrar::update(instant now)
{
    std::erase_if(repeat_at_, [&](const auto& it) { return it.second <= now; });
    for (const auto& block : breaker_.blocks_to_register(now)) {
        removals_.erase(block.signature);
        if (repeat_at_.emplace(block.signature, now + retry_interval).second) {
            // The view shows whether the block was written.
            client_.write_block(block, time_to_live, [](const gateway::registry_answer&) {});
        }
    }
    for (const auto& signature : breaker_.take_blocks_to_remove()) {
        removals_.emplace(signature, now);
    }
    for (auto& [signature, at] : removals_) {
        if (at > now) {
            continue;
        }
        at = now + retry_interval;
        client_.remove_block(signature,
                             [this, signature = signature](const gateway::registry_answer& answer) {
                                 if (answer.status == gateway::registry_status::ok) {
                                     removals_.erase(signature);
                                 }
                             });
    }
}

} // namespace hemlocknotch::daemon
