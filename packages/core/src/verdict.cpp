#include <hemlocknotch/core/verdict.hpp>

namespace hemlocknotch {

std::string_view to_string(verdict value)
{
    switch (value) {
    case verdict::ran:
        return "ran";
    case verdict::not_run:
        return "not-run";
    case verdict::may_have_run:
        return "may-have-run";
    }
    return "may-have-run";
}

std::optional<verdict> parse_verdict(std::string_view text)
{
    for (const verdict value : {verdict::ran, verdict::not_run, verdict::may_have_run}) {
        if (to_string(value) == text) {
            return value;
        }
    }
    return std::nullopt;
}

bool may_execute_again(verdict value, bool is_idempotent)
{
    return is_idempotent || value == verdict::not_run;
}

} // namespace hemlocknotch
