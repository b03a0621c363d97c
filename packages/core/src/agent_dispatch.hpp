#pragma once

#include <hemlocknotch/core/link_id.hpp>
#include <hemlocknotch/core/message.hpp>
#include <hemlocknotch/core/time.hpp>

#include "answer_buffer.hpp"

#include <cstdint>
#include <optional>
#include <utility>

namespace hemlocknotch {

/// How far a dispatch has come at its agent.
enum class dispatch_phase : std::uint8_t {
    /// Accepted; waits for a free place.
    waiting,
    /// Holds a place of the endpoint.
    running,
    /// Over; its answer is kept until the entry has it.
    ended,
};

/// One request that this agent has accepted.
struct agent_dispatch {
    agent_dispatch(submit_message submitted, link_id from, instant now)
        : request{std::move(submitted)}, link{from}, accepted{now}, answer{request.offset}
    {
    }

    submit_message request;
    /// Where the answer goes; 0 while its entry has no link.
    link_id link;
    dispatch_phase phase = dispatch_phase::waiting;
    instant accepted;
    instant started;
    instant ended;
    /// Since when its entry has had no link; meaningful while `link` is 0.
    instant orphaned;
    /// The call in progress; 0 for none.
    call_id call = 0;
    /// Offset from which the call in progress was started.
    std::uint64_t call_offset = 0;
    /// When the endpoint last sent anything, or the call was started.
    instant last_received;
    /// When the last unit came, or the call was started.
    instant last_unit;
    std::uint32_t resumes = 0;
    std::optional<head_message> head;
    answer_buffer answer;
    /// Charged to the client account so far, and units that have come, both in units.
    double charged = 0.0;
    double units = 0.0;
    /// Charged beyond the units that have come, for as long as the dispatch waits or runs, in units.
    double reserve = 0.0;
    verdict outcome = verdict::ran;
    refusal_code code = refusal_code::endpoint_failed;
    bool is_end_sent = false;
    instant last_acknowledged;

    [[nodiscard]] instant deadline() const { return accepted + request.time_to_deadline; }
};

} // namespace hemlocknotch
