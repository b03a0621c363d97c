#include "caller_headers.hpp"

#include <hemlocknotch/core/account_key.hpp>

#include "traceparent.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

constexpr std::size_t max_name_length = 128;
constexpr std::int64_t max_deadline_ms = 86'400'000;

constexpr std::array<std::string_view, 11> hop_by_hop_headers{"connection",
                                                              "keep-alive",
                                                              "proxy-authenticate",
                                                              "proxy-authorization",
                                                              "proxy-connection",
                                                              "te",
                                                              "trailer",
                                                              "upgrade",
                                                              "transfer-encoding",
                                                              "content-length",
                                                              "expect"};

enum class known_header : std::uint8_t {
    account,
    profile,
    idempotency_key,
    cost_hint,
    deadline,
    prefix,
    trace
};

struct known_header_name {
    known_header header;
    std::string_view name;
};

constexpr std::array known_headers{
    known_header_name{known_header::account, "Hemlocknotch-Account"},
    known_header_name{known_header::profile, "Hemlocknotch-Profile"},
    known_header_name{known_header::idempotency_key, "Idempotency-Key"},
    known_header_name{known_header::cost_hint, "Hemlocknotch-Cost-Hint"},
    known_header_name{known_header::deadline, "Hemlocknotch-Deadline-Ms"},
    known_header_name{known_header::prefix, "Hemlocknotch-Prefix"},
    known_header_name{known_header::trace, "traceparent"},
};

bool is_visible_ascii(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) { return c > ' ' && c <= '~'; });
}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length && is_visible_ascii(text);
}

/// Returns the names in the `Connection` header, a comma-separated list of further hop-by-hop headers.
std::vector<std::string_view> connection_options(std::span<const header_field> headers)
{
    std::vector<std::string_view> names;
    for (const auto& field : headers) {
        if (!is_same_header(field.name, "connection")) {
            continue;
        }
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            auto name = rest.substr(0, comma);
            name.remove_prefix(std::min(name.find_first_not_of(" \t"), name.size()));
            name = name.substr(0, name.find_last_not_of(" \t") + 1);
            names.push_back(name);
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return names;
}

std::optional<known_header> find_known_header(std::string_view name)
{
    const auto* it = std::ranges::find_if(
        known_headers, [&](const auto& known) { return is_same_header(known.name, name); });
    return it == known_headers.end() ? std::nullopt : std::optional{it->header};
}

template <class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number value{};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/// Parses `value` into its field of `out`. Returns nothing on success, else the error.
std::optional<caller_header_error> apply_known_header(known_header header, const std::string& value,
                                                      caller_request_event& out)
{
    const auto error = [&](std::string_view name, std::string_view allowed) {
        return caller_header_error{std::string{name} + " is \"" + value +
                                   "\"; allowed: " + std::string{allowed} + "."};
    };
    switch (header) {
    case known_header::account:
        out.client_account = value;
        return is_name(value) ? std::nullopt
                              : std::optional{error("Hemlocknotch-Account",
                                                    "the name of a client account, 1 to 128 visible ASCII "
                                                    "characters")};
    case known_header::profile:
        out.profile = value;
        return is_name(value)
                   ? std::nullopt
                   : std::optional{error("Hemlocknotch-Profile",
                                         "the name of a profile, 1 to 128 visible ASCII characters")};
    case known_header::idempotency_key:
        out.idempotency_key = value;
        return is_name(value) ? std::nullopt
                              : std::optional{error("Idempotency-Key", "1 to 128 visible ASCII characters")};
    case known_header::cost_hint:
        out.cost_hint = parse_number<double>(value);
        if (!out.cost_hint || !std::isfinite(*out.cost_hint) || *out.cost_hint <= 0) {
            return error("Hemlocknotch-Cost-Hint", "a number of units above 0");
        }
        return std::nullopt;
    case known_header::deadline: {
        const auto ms = parse_number<std::int64_t>(value);
        if (!ms || *ms < 1 || *ms > max_deadline_ms) {
            return error("Hemlocknotch-Deadline-Ms", "a whole number from 1 to 86400000");
        }
        out.deadline = std::chrono::milliseconds{*ms};
        return std::nullopt;
    }
    case known_header::prefix:
        if (!is_name(value)) {
            return error("Hemlocknotch-Prefix", "1 to 128 visible ASCII characters");
        }
        out.prefix = XXH64(value.data(), value.size(), 0);
        return std::nullopt;
    case known_header::trace:
        // W3C Trace Context: a receiver that cannot parse the header starts a new trace.
        out.traceparent = traceparent::parse(value) ? value : std::string{};
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

bool is_hop_by_hop_header(std::string_view name)
{
    return std::ranges::any_of(hop_by_hop_headers, [&](auto hop) { return is_same_header(hop, name); });
}

std::variant<caller_request_event, caller_header_error>
read_caller_headers(std::span<const header_field> headers)
{
    caller_request_event out;
    const auto connection_headers = connection_options(headers);
    std::array<bool, known_headers.size()> is_seen{};
    for (const auto& field : headers) {
        const auto known = find_known_header(field.name);
        if (!known) {
            const auto is_connection_header = std::ranges::any_of(
                connection_headers, [&](auto name) { return is_same_header(name, field.name); });
            if (!is_connection_header && !is_hop_by_hop_header(field.name)) {
                out.headers.push_back(field);
            }
            continue;
        }
        auto& seen = is_seen.at(static_cast<std::size_t>(*known));
        if (seen) {
            return caller_header_error{field.name + " is there more than once; allowed: once."};
        }
        seen = true;
        if (auto error = apply_known_header(*known, field.value, out)) {
            return *std::move(error);
        }
        // Engines identify cached prompt prefixes by the hash of this header's value, so it is forwarded too.
        if (*known == known_header::prefix) {
            out.headers.push_back(field);
        }
    }
    for (const auto needed : {known_header::account, known_header::profile}) {
        if (!is_seen.at(static_cast<std::size_t>(needed))) {
            const auto& name = known_headers.at(static_cast<std::size_t>(needed)).name;
            return caller_header_error{std::string{name} + " is missing; allowed: exactly one."};
        }
    }
    return out;
}

} // namespace hemlocknotch::daemon
