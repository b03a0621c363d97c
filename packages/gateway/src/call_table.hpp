#pragma once

#include <hemlocknotch/gateway/endpoint_table.hpp>

#include "exchange.hpp"

#include <cstddef>
#include <unordered_map>

namespace hemlocknotch::gateway {

/// The calls under way, and what they add to the load of their endpoints. Used by one thread at a time.
class call_table {
public:
    /// `endpoints` must outlive the table. One generated token counts for `output_weight` of a prompt token.
    call_table(endpoint_table& endpoints, double output_weight)
        : endpoints_{endpoints}, output_weight_{output_weight}
    {
    }

    /// Begins a call of `it` to `endpoint`, which is one of the table's and is shared by `gateways` gateways,
    /// and returns what is to be sent. Precondition: `it` has no call.
    call_start begin(exchange& it, endpoint_state& endpoint, std::size_t gateways, instant now);

    /// The endpoint has read the prompt of the call under way.
    void note_prompt_read(exchange& it);

    /// Ends the call of `it`, if there is one, and forgets its answer.
    void finish(exchange& it);

    /// Returns the exchange of `call`; 0 where it has ended.
    [[nodiscard]] exchange_id exchange_of(call_id call) const;

private:
    void add_prompt(exchange& it, endpoint_state& endpoint, instant now) const;

    endpoint_table& endpoints_;
    double output_weight_;
    std::unordered_map<call_id, exchange_id> calls_;
    call_id last_call_ = 0;
};

} // namespace hemlocknotch::gateway
