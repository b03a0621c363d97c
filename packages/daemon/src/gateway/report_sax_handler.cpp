#include "report_sax_handler.hpp"

#include <chrono>
#include <limits>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

/// Number of fields of an endpoint, and of an account.
constexpr std::size_t endpoint_field_count = 4;
constexpr std::size_t account_field_count = 3;
/// Number of fields before the endpoints of a prompt part; a request has one more.
constexpr std::size_t part_numbers = 4;
/// Number of fields of a limit.
constexpr std::size_t limit_field_count = 3;
/// Maximum of a time in milliseconds, which is a day, and of a scaled limit.
constexpr std::uint64_t max_report_number = 86'400'000;

} // namespace

bool report_sax_handler::boolean(bool /*value*/)
{
    return false;
}

bool report_sax_handler::number_integer(number_integer_t /*value*/)
{
    // Called for negative numbers only; no reported value is negative.
    return false;
}

bool report_sax_handler::number_unsigned(number_unsigned_t value)
{
    const auto number = static_cast<double>(value);
    if (depth_ == 1 && (top_field_ == 1 || top_field_ == 2)) {
        (top_field_ == 1 ? report_.incarnation : report_.sequence) = value;
        ++top_field_;
        return true;
    }
    if (depth_ == 1 && top_field_ == configuration_field) {
        report_.configuration_version = value;
        ++top_field_;
        return true;
    }
    if (is_in_endpoints() && entry_field_ > 0) {
        auto& it = report_.endpoints.back();
        if (entry_field_ == 2) {
            if (value > std::numeric_limits<unsigned>::max()) {
                return false;
            }
            it.running = static_cast<unsigned>(value);
        }
        else {
            (entry_field_ == 1 ? it.pending_tokens : it.tokens_per_second) = number;
        }
        entry_field_ = (entry_field_ + 1) % endpoint_field_count;
        return true;
    }
    if (is_in_accounts() && entry_field_ > 0) {
        auto& rates = report_.accounts.back().rates;
        (entry_field_ == 1 ? rates.requested : rates.served) = number;
        entry_field_ = (entry_field_ + 1) % account_field_count;
        return true;
    }
    if (is_in_signatures()) {
        return take_signature_field(value);
    }
    if (is_in_limits() && entry_field_ > 0 && value <= max_report_number) {
        auto& it = report_.limits.back();
        if (entry_field_ == 1) {
            it.requests_per_second = number / limit_scale;
        }
        else {
            it.age = std::chrono::milliseconds{value};
        }
        entry_field_ = (entry_field_ + 1) % limit_field_count;
        return true;
    }
    if (is_in_leaving() && entry_field_ == 1) {
        report_.leaving.back().started_at_ms = value;
        entry_field_ = 0;
        return true;
    }
    if (is_in_pauses() && entry_field_ == 1 && value <= max_report_number) {
        report_.pauses.back().remaining = std::chrono::milliseconds{value};
        entry_field_ = 0;
        return true;
    }
    if (is_in_sound_signatures()) {
        return take_sound_field(value);
    }
    return false;
}

bool report_sax_handler::take_signature_field(std::uint64_t value)
{
    auto& known = report_.signatures.known;
    const std::size_t numbers = is_about_requests() ? 2 : 1;
    if (entry_field_ == 0) {
        known.emplace_back();
    }
    if (entry_field_ < numbers) {
        auto& signature = known.back().signature;
        (entry_field_ + 1 == numbers ? signature.low : signature.high) = value;
        if (is_about_requests() && signature.is_prompt_part()) {
            return false;
        }
    }
    else if (entry_field_ == numbers && value <= std::numeric_limits<unsigned>::max()) {
        known.back().block = static_cast<unsigned>(value);
    }
    else if (entry_field_ == numbers + 1 && value <= max_report_number) {
        known.back().blocked_for = std::chrono::milliseconds{value};
    }
    else if (entry_field_ == numbers + 2 && value <= 1) {
        known.back().has_trial = value == 1;
    }
    else {
        return false;
    }
    ++entry_field_;
    return true;
}

bool report_sax_handler::take_sound_field(std::uint64_t value)
{
    auto& sound = report_.signatures.sound;
    if (!is_about_requests()) {
        sound.push_back({value});
        return true;
    }
    if (entry_field_ == 0) {
        sound.push_back({0, value});
    }
    else {
        sound.back().low = value;
    }
    entry_field_ = 1 - entry_field_;
    return !sound.back().is_prompt_part();
}

bool report_sax_handler::number_float(number_float_t /*value*/, const string_t& /*text*/)
{
    return false;
}

bool report_sax_handler::string(string_t& value)
{
    if (depth_ == 1 && top_field_ == 0) {
        report_.gateway = std::move(value);
        ++top_field_;
        return true;
    }
    if (is_in_signature_endpoints()) {
        report_.signatures.known.back().endpoints.push_back(std::move(value));
        return true;
    }
    if (entry_field_ != 0) {
        return false;
    }
    if (is_in_endpoints()) {
        report_.endpoints.push_back({std::move(value), 0.0, 0, 0.0});
    }
    else if (is_in_limits()) {
        report_.limits.push_back({std::move(value), 0.0, {}});
    }
    else if (is_in_leaving()) {
        report_.leaving.push_back({std::move(value), 0});
    }
    else if (is_in_pauses()) {
        report_.pauses.push_back({std::move(value), {}});
    }
    else if (is_in_accounts()) {
        report_.accounts.push_back({service_, std::move(value), {}});
    }
    else {
        return false;
    }
    ++entry_field_;
    return true;
}

bool report_sax_handler::binary(binary_t& /*value*/)
{
    return false;
}

bool report_sax_handler::start_object(std::size_t /*size*/)
{
    ++depth_;
    return depth_ == 2 && top_field_ == accounts_field;
}

bool report_sax_handler::key(string_t& value)
{
    service_ = std::move(value);
    return true;
}

bool report_sax_handler::end_object()
{
    --depth_;
    ++top_field_;
    return true;
}

bool report_sax_handler::start_array(std::size_t /*size*/)
{
    ++depth_;
    return depth_ == 1 || is_in_endpoints() || is_in_accounts() || is_in_signatures() ||
           is_in_sound_signatures() || is_in_limits() || is_in_leaving() || is_in_pauses() ||
           (is_in_signature_endpoints() && entry_field_ == part_numbers + (is_about_requests() ? 1U : 0U));
}

bool report_sax_handler::end_array()
{
    if (is_in_signature_endpoints()) {
        entry_field_ = 0;
    }
    if (entry_field_ != 0) {
        return false;
    }
    --depth_;
    top_field_ += depth_ == 1 ? 1 : 0;
    return true;
}

bool report_sax_handler::parse_error(std::size_t /*position*/, const std::string& /*token*/,
                                     const nlohmann::detail::exception& /*error*/)
{
    return false;
}

} // namespace hemlocknotch::daemon
