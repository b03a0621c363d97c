#include "request_target.hpp"

#include <xxhash.h>

#include <algorithm>
#include <span>

namespace hemlocknotch::gateway {

const std::string& choose_service(const route& it, std::string_view id)
{
    double total = 0.0;
    for (const auto& target : it.services) {
        total += target.weight;
    }
    constexpr double range = 1ULL << 32U;
    auto position = static_cast<double>(XXH64(id.data(), id.size(), 0) >> 32U) / range * total;
    for (const auto& target : it.services) {
        position -= target.weight;
        if (position < 0.0) {
            return target.name;
        }
    }
    return it.services.back().name;
}

placement_request placement_of(const request_fields& fields, double expected_output_share)
{
    placement_request out;
    double sum = 0.0;
    for (const auto& part : fields.prompt) {
        sum += static_cast<double>(part.tokens);
    }
    out.prompt_tokens = std::max(sum, static_cast<double>(fields.prompt_tokens));
    if (fields.prompt.size() >= 2) {
        out.shared_parts = std::span{fields.prompt}.first(fields.prompt.size() - 1);
        out.shared_part = out.shared_parts.back().id;
        out.shared_tokens = sum - static_cast<double>(fields.prompt.back().tokens);
    }
    else if (fields.prompt.size() == 1) {
        out.shared_part = fields.prompt.front().id;
    }
    const auto limit = static_cast<double>(fields.max_output_tokens);
    out.output_tokens = fields.output_hint > 0 ? std::min(limit, static_cast<double>(fields.output_hint))
                                               : expected_output_share * limit;
    return out;
}

} // namespace hemlocknotch::gateway
