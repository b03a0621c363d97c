#pragma once

#include <hemlocknotch/gateway/router_port.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch::gateway {

/// Identifies requests that are the same in a way that may matter to the endpoints which execute them: those
/// with one shared part of their prompts, or those that are equal as a whole.
struct request_signature {
    /// Id of the prompt part, or the second half of the hash of the request.
    std::uint64_t low = 0;
    /// First half of that hash, which is never 0; 0: a prompt part.
    std::uint64_t high = 0;

    [[nodiscard]] bool is_prompt_part() const { return high == 0; }

    friend auto operator<=>(const request_signature&, const request_signature&) = default;
};

/// Returns the signature of `request` as a whole: BLAKE2b (RFC 7693), cut to 128 bits, of the name of its
/// client account, its method, host, target and body. It is the same at all gateways. Callers choose these
/// bytes, so the hash is one for which they cannot find two that are alike; the account keeps them from
/// the signatures of others. Headers are left out, since some differ for each attempt. Thread-safe.
request_signature sign_request(std::string_view account, const caller_request& request);

/// Returns `it` in hexadecimal notation: up to 16 digits for a prompt part, 32 for a request. Thread-safe.
std::string to_text(const request_signature& it);

/// Returns the signature that `to_text` writes as `text`; nothing if it writes none so. Thread-safe.
std::optional<request_signature> parse_signature(std::string_view text);

} // namespace hemlocknotch::gateway
