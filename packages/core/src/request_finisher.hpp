#pragma once

#include <hemlocknotch/core/refusal.hpp>

#include "entry_data.hpp"
#include "entry_step.hpp"

#include <string>

namespace hemlocknotch {

/// Ends requests: tells the caller the outcome at once, settles the claim and forgets the request.
class request_ender {
public:
    explicit request_ender(entry_data& data) : data_{data} {}

    /// Ends a request whose whole answer has gone to the caller's connection.
    void complete(entry_step& step, entry_request& value);

    /// Ends a request without a whole answer. `outcome` is what is known of its last dispatch; if an earlier
    /// one may have run, the caller is told so. A caller that has received part of an answer sees its
    /// connection cut.
    void refuse(entry_step& step, entry_request& value, refusal_code code, verdict outcome,
                duration retry_after = {});

    /// Ends a request that nobody waits for.
    void drop(entry_step& step, entry_request& value, verdict outcome);

private:
    void finish(entry_step& step, entry_request& value, verdict outcome, std::string_view result);

    entry_data& data_;
};

} // namespace hemlocknotch
