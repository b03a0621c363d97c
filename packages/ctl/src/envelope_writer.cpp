#include "envelope_writer.hpp"

#include "store_reader.hpp"

#include <algorithm>
#include <utility>

namespace hemlocknotch {
namespace {

bool names_change(const configuration_envelope& current, const std::string& change)
{
    const auto& previous = current.previous_changes;
    return current.change == change || std::find(previous.begin(), previous.end(), change) != previous.end();
}

/// Returns whether `current`, which does not name a change that would have been revision `revision`, proves
/// that it was not accepted: its list of earlier changes reaches back that far.
bool reaches_back_to(const configuration_envelope& current, std::uint64_t revision)
{
    if (current.change.empty()) {
        return false;
    }
    return current.revision <= revision || current.revision - revision <= current.previous_changes.size();
}

} // namespace

void envelope_writer::write(key_value_service& store, edit_environment& environment,
                            const current_configuration& base, const configuration_envelope& envelope,
                            callback done)
{
    const std::shared_ptr<envelope_writer> writer{
        new envelope_writer{store, environment, base.version, envelope, std::move(done)}};
    writer->send();
}

envelope_writer::envelope_writer(key_value_service& store, edit_environment& environment,
                                 std::uint64_t base_version, const configuration_envelope& envelope,
                                 callback done)
    : store_{store},
      environment_{environment},
      base_version_{base_version},
      envelope_{envelope},
      value_{write_envelope(envelope)},
      done_{std::move(done)}
{
}

void envelope_writer::send()
{
    constexpr std::uint64_t no_lease = 0;
    store_.compare_and_swap(
        configuration_key, base_version_, value_, no_lease,
        [self = shared_from_this()](const store_answer& answer) { self->on_written(answer); });
}

void envelope_writer::on_written(const store_answer& answer)
{
    switch (answer.status) {
    case store_status::ok:
        done_({store_status::ok, std::nullopt});
        return;
    case store_status::conflict:
    case store_status::absent:
        settle(answer);
        return;
    case store_status::refused:
        try_again();
        return;
    case store_status::unknown:
        is_answer_lost_ = true;
        read_back();
        return;
    }
}

void envelope_writer::read_back()
{
    store_.get(configuration_key,
               [self = shared_from_this()](const store_answer& answer) { self->on_read_back(answer); });
}

void envelope_writer::on_read_back(const store_answer& answer)
{
    const bool is_read = answer.status == store_status::ok || answer.status == store_status::absent;
    // While the version is still the old one, the lost write may yet arrive: only a further write can tell.
    if (is_read && answer.version != base_version_) {
        settle(answer);
        return;
    }
    try_again();
}

void envelope_writer::try_again()
{
    if (attempt_ >= max_store_attempts) {
        done_({is_answer_lost_ ? store_status::unknown : store_status::refused, std::nullopt});
        return;
    }
    ++attempt_;
    environment_.run_later(store_backoff(attempt_), [self = shared_from_this()] { self->send(); });
}

void envelope_writer::settle(const store_answer& current)
{
    const auto winner = read_envelope(current.value);
    if (winner && names_change(*winner, envelope_.change)) {
        done_({store_status::ok, std::nullopt});
        return;
    }
    // An answer was lost and what stands names no change that far back.
    const bool can_tell = !is_answer_lost_ || (winner && reaches_back_to(*winner, envelope_.revision));
    done_({can_tell ? store_status::conflict : store_status::unknown, winner});
}

} // namespace hemlocknotch
