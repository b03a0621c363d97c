#include "store_reader.hpp"

#include <cassert>
#include <utility>

namespace hemlocknotch {
namespace {

constexpr std::chrono::milliseconds first_backoff{100};

/// Returns the envelope in `answer`; a value that cannot be read counts as no answer.
current_configuration read_current(const store_answer& answer)
{
    if (answer.status != store_status::ok) {
        return {answer.status, answer.version, {}};
    }
    const auto envelope = read_envelope(answer.value);
    if (!envelope) {
        return {store_status::unknown, answer.version, {}};
    }
    return {store_status::ok, answer.version, *envelope};
}

struct read_operation {
    key_value_service& store;
    edit_environment& environment;
    std::string key;
    config_editor::read_callback done;
    std::uint32_t attempt = 1;
};

void run(const std::shared_ptr<read_operation>& op)
{
    op->store.get(op->key, [op](const store_answer& answer) {
        const current_configuration current = read_current(answer);
        const bool is_final = current.status == store_status::ok || current.status == store_status::absent;
        if (is_final || op->attempt >= max_store_attempts) {
            op->done(current);
            return;
        }
        ++op->attempt;
        op->environment.run_later(store_backoff(op->attempt), [op] { run(op); });
    });
}

} // namespace

duration store_backoff(std::uint32_t attempt)
{
    assert(attempt >= 2);
    return first_backoff * (1U << (attempt - 2));
}

void read_envelope_at(key_value_service& store, edit_environment& environment, const std::string& key,
                      config_editor::read_callback done)
{
    run(std::make_shared<read_operation>(read_operation{store, environment, key, std::move(done)}));
}

} // namespace hemlocknotch
