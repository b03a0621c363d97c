#pragma once

#include <hemlocknotch/core/refusal.hpp>

#include "entry_data.hpp"
#include "entry_step.hpp"

#include <string>

namespace hemlocknotch {

/// Ends requests: sends the outcome to the caller immediately, settles the claim and removes the request.
class request_finisher {
public:
    explicit request_finisher(entry_data& data) : data_{data} {}

    /// Ends a request whose complete answer has been handed to the caller's connection.
    void complete(entry_step& step, entry_request& value);

    /// Ends a request without a complete answer. `outcome` is the verdict on its last dispatch; if an earlier
    /// one may have run, the verdict sent to the caller is `may_have_run`. If the caller has received part of
    /// an answer, its connection is closed early.
    void refuse(entry_step& step, entry_request& value, refusal_code code, verdict outcome,
                duration retry_after = {});

    /// Ends a request whose caller no longer waits for it.
    void drop(entry_step& step, entry_request& value, verdict outcome);

private:
    void finish(entry_step& step, entry_request& value, verdict outcome, std::string_view result);

    entry_data& data_;
};

} // namespace hemlocknotch
