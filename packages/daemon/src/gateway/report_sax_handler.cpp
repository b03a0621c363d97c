#include "report_sax_handler.hpp"

#include <limits>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

/// Fields of one endpoint, and of one account.
constexpr std::size_t endpoint_fields = 4;
constexpr std::size_t account_fields = 3;

} // namespace

bool report_sax_handler::boolean(bool /*value*/)
{
    return false;
}

bool report_sax_handler::number_integer(number_integer_t /*value*/)
{
    // Negative; nothing told is below zero.
    return false;
}

bool report_sax_handler::number_unsigned(number_unsigned_t value)
{
    const auto number = static_cast<double>(value);
    if (depth_ == 1 && (place_ == 1 || place_ == 2)) {
        (place_ == 1 ? report_.incarnation : report_.sequence) = value;
        ++place_;
        return true;
    }
    if (is_in_endpoints() && field_ > 0) {
        auto& it = report_.endpoints.back();
        if (field_ == 2) {
            if (value > std::numeric_limits<unsigned>::max()) {
                return false;
            }
            it.running = static_cast<unsigned>(value);
        }
        else {
            (field_ == 1 ? it.pending_tokens : it.tokens_per_second) = number;
        }
        field_ = (field_ + 1) % endpoint_fields;
        return true;
    }
    if (is_in_accounts() && field_ > 0) {
        auto& rates = report_.accounts.back().rates;
        (field_ == 1 ? rates.requested : rates.served) = number;
        field_ = (field_ + 1) % account_fields;
        return true;
    }
    return false;
}

bool report_sax_handler::number_float(number_float_t /*value*/, const string_t& /*text*/)
{
    return false;
}

bool report_sax_handler::string(string_t& value)
{
    if (depth_ == 1 && place_ == 0) {
        report_.gateway = std::move(value);
        ++place_;
        return true;
    }
    if (field_ != 0) {
        return false;
    }
    if (is_in_endpoints()) {
        report_.endpoints.push_back({std::move(value), 0.0, 0, 0.0});
    }
    else if (is_in_accounts()) {
        report_.accounts.push_back({service_, std::move(value), {}});
    }
    else {
        return false;
    }
    ++field_;
    return true;
}

bool report_sax_handler::binary(binary_t& /*value*/)
{
    return false;
}

bool report_sax_handler::start_object(std::size_t /*size*/)
{
    ++depth_;
    return depth_ == 2 && place_ == accounts_place;
}

bool report_sax_handler::key(string_t& value)
{
    service_ = std::move(value);
    return true;
}

bool report_sax_handler::end_object()
{
    --depth_;
    ++place_;
    return true;
}

bool report_sax_handler::start_array(std::size_t /*size*/)
{
    ++depth_;
    return depth_ == 1 || is_in_endpoints() || is_in_accounts();
}

bool report_sax_handler::end_array()
{
    if (field_ != 0) {
        return false;
    }
    --depth_;
    place_ += depth_ == 1 ? 1 : 0;
    return true;
}

bool report_sax_handler::parse_error(std::size_t /*position*/, const std::string& /*token*/,
                                     const nlohmann::detail::exception& /*error*/)
{
    return false;
}

} // namespace hemlocknotch::daemon
