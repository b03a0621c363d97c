#include <hemlocknotch/gateway/registry_contact.hpp>

#include <algorithm>

namespace hemlocknotch::gateway {

registry_contact::registry_contact(duration max_silence, instant now) : max_silence_{max_silence}, since_{now}
{
}

void registry_contact::begin(instant now)
{
    since_ = now;
}

bool registry_contact::note_read(instant failed_since, instant requested_at, instant now)
{
    const auto was_silent = latest_ && requested_at - *latest_ >= max_silence_;
    const auto is_told_since_failure = latest_ && *latest_ > failed_since;
    const auto is_outage = failed_since != instant::max() &&
                           (is_told_since_failure ? was_silent : now - failed_since >= outage_threshold);
    if (is_outage || was_silent) {
        since_ = now;
    }
    latest_ = latest_ ? std::max(*latest_, requested_at) : requested_at;
    return is_outage;
}

bool registry_contact::note_statement(instant since, instant as_of, bool has_seen_outage)
{
    if (has_seen_outage && latest_ && as_of - *latest_ >= max_silence_ && since > *latest_) {
        since_ = since;
        latest_ = as_of;
        return true;
    }
    // What ends before this gateway's own knowledge begins leaves a gap between the two.
    if (as_of + outage_threshold >= since_) {
        since_ = std::min(since_, since);
    }
    latest_ = latest_ ? std::max(*latest_, as_of) : as_of;
    return false;
}

bool registry_contact::can_rebut(instant since) const
{
    return since_ + outage_threshold < since;
}

} // namespace hemlocknotch::gateway
