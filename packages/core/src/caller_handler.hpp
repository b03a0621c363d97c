#pragma once

#include <hemlocknotch/core/entry_event.hpp>

#include "dispatcher.hpp"
#include "entry_data.hpp"
#include "entry_step.hpp"
#include "outcome_handler.hpp"
#include "request_finisher.hpp"

#include <memory>
#include <optional>

namespace hemlocknotch {

/// Handles events from callers: checks new requests, claims their idempotency keys, and tracks how much of
/// their answers callers have received.
class caller_handler {
public:
    caller_handler(entry_data& data, dispatcher& work, outcome_handler& outcomes, request_finisher& finisher)
        : data_{data}, dispatcher_{work}, outcomes_{outcomes}, finisher_{finisher}
    {
    }

    void on_request(entry_step& step, const caller_request_event& value);
    void on_claim_result(entry_step& step, const claim_result_event& value);
    void on_progress(entry_step& step, const caller_progress_event& value);
    void on_disconnected(entry_step& step, const caller_disconnected_event& value);

private:
    [[nodiscard]] std::optional<refusal> check(const entry_step& step,
                                               const caller_request_event& value) const;
    [[nodiscard]] std::optional<refusal> check_limits(const entry_step& step,
                                                      const caller_request_event& value) const;
    [[nodiscard]] std::unique_ptr<entry_request> create_request(const entry_step& step, const request_id& id,
                                                                const caller_request_event& value) const;

    entry_data& data_;
    dispatcher& dispatcher_;
    outcome_handler& outcomes_;
    request_finisher& finisher_;
};

} // namespace hemlocknotch
