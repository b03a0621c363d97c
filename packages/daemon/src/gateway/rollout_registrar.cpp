#include "rollout_registrar.hpp"

#include <utility>

namespace hemlocknotch::daemon {

rollout_registrar::rollout_registrar(gateway::registry_client& client, gateway::rollout_table& rollouts,
                                     std::function<instant()> now, std::function<void()> written)
    : client_{client}, rollouts_{rollouts}, now_{std::move(now)}, on_written_{std::move(written)}
{
}

void rollout_registrar::update()
{
    for (auto& it : rollouts_.take_writes(now_())) {
        const auto replaced = it.replaced.revision;
        auto done = [this, record = it.record](const gateway::registry_answer& answer) {
            if (answer.status != gateway::registry_status::ok || answer.revision == 0) {
                ++failed_;
                return;
            }
            ++written_;
            rollouts_.note_written(record, {answer.era, answer.revision}, now_());
            on_written_();
        };
        client_.write_rollout(it.record, replaced, std::move(done));
    }
}

} // namespace hemlocknotch::daemon
