#pragma once

#include <hemlocknotch/core/message.hpp>

#include "dispatcher.hpp"
#include "entry_data.hpp"
#include "entry_step.hpp"
#include "request_finisher.hpp"

namespace hemlocknotch {

/// Follows dispatches: passes answers on, finds out what became of a dispatch whose link was lost, and
/// decides whether a request is sent again. Messages about another dispatch than a request's current one
/// change nothing.
class outcome_handler {
public:
    outcome_handler(entry_data& data, dispatcher& work, request_ender& ender)
        : data_{data}, dispatcher_{work}, ender_{ender}
    {
    }

    void on_refuse(entry_step& step, const outgoing_link& link, const refuse_message& value);
    void on_head(entry_step& step, outgoing_link& link, const head_message& value);
    void on_part(entry_step& step, outgoing_link& link, const part_message& value);
    void on_end(entry_step& step, outgoing_link& link, const end_message& value);
    void on_resolved(entry_step& step, outgoing_link& link, const resolved_message& value);

    /// Asks the agent behind `link`, which is of the incarnation that the request was sent to, what became of
    /// it.
    void resolve(entry_step& step, outgoing_link& link, entry_request& value);

    /// Takes in that the link of a request has gone.
    void on_link_lost(const entry_step& step, entry_request& value);

    /// Takes in that nobody can tell any more what became of a dispatch.
    void on_unresolvable(entry_step& step, entry_request& value);

    /// Takes in that a dispatch's timer has gone off: asks its agent, or gives up where that was done.
    void on_timer(entry_step& step, entry_request& value);

    /// Acknowledges what the caller has taken, so that the agent sends on.
    void acknowledge(entry_step& step, entry_request& value);

private:
    [[nodiscard]] entry_request* current_dispatch(entry_step& step, const outgoing_link& link,
                                                  const request_id& id, std::uint32_t attempt);
    void heard(const entry_step& step, entry_request& value);
    void ask_for_missing(entry_step& step, outgoing_link& link, entry_request& value);
    void not_run(entry_step& step, entry_request& value, refusal_code code, duration retry_after);
    void may_have_run(entry_step& step, entry_request& value, refusal_code code);
    void ran(entry_step& step, outgoing_link& link, entry_request& value, const end_message& end);
    [[nodiscard]] bool is_retry_possible(const entry_step& step, const entry_request& value) const;
    void retry(entry_step& step, entry_request& value);

    entry_data& data_;
    dispatcher& dispatcher_;
    request_ender& ender_;
};

} // namespace hemlocknotch
