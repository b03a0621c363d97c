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
      retry_{base, [this] { request(); }}
{
}

void configuration_watcher::set_enabled(bool is_enabled)
{
    is_enabled_ = is_enabled;
    if (!is_enabled) {
        retry_.stop();
        return;
    }
    if (!is_request_pending_) {
        request();
    }
}

void configuration_watcher::request()
{
    if (!is_enabled_ || is_request_pending_) {
        return;
    }
    is_request_pending_ = true;
    const auto done = [this](const store_answer& answer) { on_answer(answer); };
    if (known_version_ == 0) {
        store_.get(configuration_key, done);
        return;
    }
    store_.watch(configuration_key, known_version_, options_.watch_timeout, done);
}

void configuration_watcher::on_answer(const store_answer& answer)
{
    is_request_pending_ = false;
    const auto is_reached = answer.status != store_status::unknown;
    sink_.on_store_contact(is_reached);
    if (answer.status != store_status::ok) {
        schedule_retry();
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
    request();
}

void configuration_watcher::schedule_retry()
{
    retry_.start(with_jitter(delay_, entropy_.next()));
    delay_ = std::min(delay_ * 2, options_.max_retry_delay);
}

} // namespace hemlocknotch::daemon
