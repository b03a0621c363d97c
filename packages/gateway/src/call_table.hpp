#pragma once

#include <hemlocknotch/gateway/endpoint_table.hpp>

#include "answer_buffers.hpp"
#include "exchange.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlocknotch::gateway {

/// The open calls, and the load that they add to their endpoints. Used by one thread at a time.
class call_table {
public:
    /// `endpoints` and `memory` must outlive the table. One generated token counts as `output_weight` prompt
    /// tokens.
    call_table(endpoint_table& endpoints, double output_weight, answer_memory& memory)
        : endpoints_{endpoints}, output_weight_{output_weight}, buffers_{memory}
    {
    }

    /// Begins a call of `it` to `endpoint`, which belongs to the endpoint table and is shared by `gateways`
    /// gateways. Returns what is to be sent. Precondition: `it` has no open call.
    call_start begin(exchange& it, endpoint_state& endpoint, std::size_t gateways, instant now);

    /// Records that the endpoint has read the prompt of the open call.
    void note_prompt_read(exchange& it);

    /// Returns whether the answer of the open call may hold as many bytes as it does now; if not, it has to
    /// be given up.
    [[nodiscard]] bool note_held(exchange& it) { return buffers_.note_held(it); }

    /// Ends the open call of `it`, if there is one, and discards its answer.
    void finish(exchange& it);

    /// Returns the exchanges with a call that is open at an endpoint which is draining or gone.
    [[nodiscard]] std::vector<exchange_id> exchanges_at_leaving_endpoints() const;

    /// Returns the exchanges with a call that is open at the endpoint `instance`.
    [[nodiscard]] std::vector<exchange_id> exchanges_at(std::string_view instance) const;

    /// Returns the exchange of `call`; 0 if the call has ended.
    [[nodiscard]] exchange_id exchange_of(call_id call) const;

private:
    void add_prompt(exchange& it, endpoint_state& endpoint, instant now) const;

    endpoint_table& endpoints_;
    double output_weight_;

    struct open_call {
        exchange_id exchange = 0;
        std::string instance;
        /// Start of the endpoint that the call is meant for.
        std::uint64_t started_at_ms = 0;
    };

    std::unordered_map<call_id, open_call> calls_;
    call_id last_call_ = 0;
    answer_buffers buffers_;
};

} // namespace hemlocknotch::gateway
