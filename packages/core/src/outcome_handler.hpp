#pragma once

#include <hemlocknotch/core/message.hpp>

#include "dispatcher.hpp"
#include "entry_data.hpp"
#include "entry_step.hpp"
#include "request_finisher.hpp"

namespace hemlocknotch {

/// Tracks dispatches: forwards answers, finds out the state of a dispatch whose link was lost, and decides
/// whether a request is sent again. Messages about a dispatch other than the request's current one are
/// ignored.
class outcome_handler {
public:
    outcome_handler(entry_data& data, dispatcher& work, request_finisher& finisher)
        : data_{data}, dispatcher_{work}, finisher_{finisher}
    {
    }

    void on_refuse(entry_step& step, const outgoing_link& link, const refuse_message& value);
    void on_head(entry_step& step, outgoing_link& link, const head_message& value);
    void on_part(entry_step& step, outgoing_link& link, const part_message& value);
    void on_end(entry_step& step, outgoing_link& link, const end_message& value);
    void on_resolved(entry_step& step, outgoing_link& link, const resolved_message& value);

    /// Asks the agent on `link` for the state of the request's dispatch. Precondition: the agent is the
    /// incarnation that the request was sent to.
    void resolve(entry_step& step, outgoing_link& link, entry_request& value);

    /// Handles the loss of a request's link.
    void on_link_lost(const entry_step& step, entry_request& value);

    /// Handles a dispatch whose outcome can no longer be found out.
    void on_unresolvable(entry_step& step, entry_request& value);

    /// Handles the timer of a dispatch: asks its agent for its state, or gives up if the agent has been asked
    /// already.
    void on_timer(entry_step& step, entry_request& value);

    /// Acknowledges the bytes sent to the caller, so that the agent continues to send.
    void acknowledge(entry_step& step, entry_request& value);

private:
    [[nodiscard]] entry_request* current_dispatch(entry_step& step, const outgoing_link& link,
                                                  const request_id& id, std::uint32_t attempt);
    void record_activity(const entry_step& step, entry_request& value);
    void request_missing_parts(entry_step& step, outgoing_link& link, entry_request& value);
    void not_run(entry_step& step, entry_request& value, refusal_code code, duration retry_after);
    void may_have_run(entry_step& step, entry_request& value, refusal_code code);
    void ran(entry_step& step, outgoing_link& link, entry_request& value, const end_message& end);
    [[nodiscard]] bool is_retry_possible(const entry_step& step, const entry_request& value) const;
    void retry(entry_step& step, entry_request& value);

    entry_data& data_;
    dispatcher& dispatcher_;
    request_finisher& finisher_;
};

} // namespace hemlocknotch
