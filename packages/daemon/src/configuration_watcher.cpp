#include "configuration_watcher.hpp"

#include "jitter.hpp"

#include <algorithm>

namespace hemlocknotch::daemon {

configuration_watcher::configuration_watcher(event_base* base, key_value_service& store,
                                             const configuration_watcher_options& options,
                                             entropy_source& entropy, configuration_watcher_sink& sink)
    : store_{store},
      options_{options},
      entropy_{entropy},
      sink_{sink},
      delay_{options.retry_delay},
      retry_{base, [this] { call(); }}
{
}

void configuration_watcher::set_wanted(bool is_wanted)
{
    is_wanted_ = is_wanted;
    if (!is_wanted) {
        retry_.stop();
        return;
    }
    if (!is_waiting_) {
        call();
    }
}

void configuration_watcher::call()
{
    if (!is_wanted_ || is_waiting_) {
        return;
    }
    is_waiting_ = true;
    const auto done = [this](const store_answer& answer) { on_answer(answer); };
    if (known_version_ == 0) {
        store_.get(configuration_key, done);
        return;
    }
    store_.watch(configuration_key, known_version_, options_.watch_limit, done);
}

void configuration_watcher::on_answer(const store_answer& answer)
{
    is_waiting_ = false;
    const auto is_reached = answer.status != store_status::unknown;
    sink_.on_store_contact(is_reached);
    if (answer.status != store_status::ok) {
        call_later();
        return;
    }
    delay_ = options_.retry_delay;
    if (answer.version != known_version_) {
        known_version_ = answer.version;
        if (const auto envelope = read_envelope(answer.value)) {
            sink_.on_envelope(*envelope);
        }
        else {
            sink_.on_unreadable_envelope();
        }
    }
    call();
}

void configuration_watcher::call_later()
{
    retry_.start(with_jitter(delay_, entropy_.next()));
    delay_ = std::min(delay_ * 2, options_.retry_delay_limit);
}

} // namespace hemlocknotch::daemon
