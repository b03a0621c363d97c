#pragma once

#include <hemlocknotch/core/link_id.hpp>
#include <hemlocknotch/core/message.hpp>
#include <hemlocknotch/core/time.hpp>

#include "answer_buffer.hpp"

#include <cstdint>
#include <optional>
#include <utility>

namespace hemlocknotch {

/// Phase of a dispatch at its agent.
enum class dispatch_phase : std::uint8_t {
    /// Accepted; waits for a free slot.
    waiting,
    /// Occupies a slot of the endpoint.
    running,
    /// Ended; its answer is retained until the entry has acknowledged it.
    ended,
};

/// One request that this agent has accepted.
struct agent_dispatch {
    agent_dispatch(submit_message submitted, link_id from, instant now)
        : request{std::move(submitted)}, link{from}, accepted{now}, answer{request.offset}
    {
    }

    submit_message request;
    /// Link on which the answer is sent; 0 while the entry has no link.
    link_id link;
    dispatch_phase phase = dispatch_phase::waiting;
    instant accepted;
    instant started;
    instant ended;
    /// Time since which the entry has had no link; meaningful while `link` is 0.
    instant orphaned;
    /// The call in progress; 0 for none.
    call_id call = 0;
    /// Offset in the answer's body at which the call in progress was started.
    std::uint64_t call_offset = 0;
    /// When the endpoint last sent anything for the call, or when the call was started.
    instant last_received;
    /// When the last unit was received, or when the call was started.
    instant last_unit;
    std::uint32_t resumes = 0;
    std::optional<head_message> head;
    answer_buffer answer;
    /// Units charged to the client account so far.
    double charged = 0.0;
    /// Units received so far.
    double units = 0.0;
    /// Units charged in addition to those received, while the dispatch waits or runs.
    double reserve = 0.0;
    verdict outcome = verdict::ran;
    refusal_code code = refusal_code::endpoint_failed;
    bool is_end_sent = false;
    instant last_acknowledged;

    [[nodiscard]] instant deadline() const { return accepted + request.time_to_deadline; }
};

} // namespace hemlocknotch
