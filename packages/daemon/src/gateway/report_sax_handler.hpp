#pragma once

#include <hemlocknotch/gateway/fleet_report.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>

namespace hemlocknotch::daemon {

/// Number by which limits of requests per second are multiplied, so that they are whole numbers in a report.
inline constexpr double limit_scale = 1000.0;

/// SAX handler that builds a report while it is parsed, without a tree of JSON values: in a large fleet a
/// gateway receives some 80 reports of a hundred fields and more each second. Layout of a report: an array of
/// the gateway's name, incarnation, sequence number, a flat array of the endpoints' fields, and an object
/// that maps each service to a flat array of its accounts' fields; where anything is known against prompt
/// parts, also a flat array of the parts' fields, of which the last is an array of endpoints, and an array of
/// parts that are sound; where endpoints state limits, that they leave or that they pause, also flat arrays
/// of the fields of each; where anything is known against requests as a whole, the same two arrays as for
/// prompt parts, in which a signature has two numbers; the version of the configuration. Gateways of earlier
/// versions leave out what is empty at the end. A handler reads one report only.
class report_sax_handler final : public nlohmann::json_sax<nlohmann::json> {
public:
    /// Returns whether a complete report has been read.
    [[nodiscard]] bool is_complete() const
    {
        return depth_ == 0 &&
               (top_field_ == parts_field || top_field_ == limits_field || top_field_ == requests_field ||
                top_field_ == configuration_field || top_field_ == configuration_field + 1);
    }

    [[nodiscard]] gateway::fleet_report& report() { return report_; }

    bool null() override { return false; }

    bool boolean(bool value) override;
    bool number_integer(number_integer_t value) override;
    bool number_unsigned(number_unsigned_t value) override;
    bool number_float(number_float_t value, const string_t& text) override;
    bool string(string_t& value) override;
    bool binary(binary_t& value) override;
    bool start_object(std::size_t size) override;
    bool key(string_t& value) override;
    bool end_object() override;
    bool start_array(std::size_t size) override;
    bool end_array() override;
    bool parse_error(std::size_t position, const std::string& token,
                     const nlohmann::detail::exception& error) override;

private:
    /// Indices of elements of the outermost array.
    static constexpr std::size_t endpoints_field = 3;
    static constexpr std::size_t accounts_field = 4;
    static constexpr std::size_t parts_field = 5;
    static constexpr std::size_t sound_parts_field = 6;
    static constexpr std::size_t limits_field = 7;
    static constexpr std::size_t leaving_field = 8;
    static constexpr std::size_t pauses_field = 9;
    static constexpr std::size_t requests_field = 10;
    static constexpr std::size_t sound_requests_field = 11;
    static constexpr std::size_t configuration_field = 12;

    [[nodiscard]] bool is_in_endpoints() const { return depth_ == 2 && top_field_ == endpoints_field; }

    [[nodiscard]] bool is_in_accounts() const { return depth_ == 3 && top_field_ == accounts_field; }

    /// Whether the element that is being read is about requests as a whole.
    [[nodiscard]] bool is_about_requests() const { return top_field_ >= requests_field; }

    [[nodiscard]] bool is_in_signatures() const
    {
        return depth_ == 2 && (top_field_ == parts_field || top_field_ == requests_field);
    }

    [[nodiscard]] bool is_in_signature_endpoints() const
    {
        return depth_ == 3 && (top_field_ == parts_field || top_field_ == requests_field);
    }

    [[nodiscard]] bool is_in_sound_signatures() const
    {
        return depth_ == 2 && (top_field_ == sound_parts_field || top_field_ == sound_requests_field);
    }

    [[nodiscard]] bool is_in_limits() const { return depth_ == 2 && top_field_ == limits_field; }

    [[nodiscard]] bool is_in_leaving() const { return depth_ == 2 && top_field_ == leaving_field; }

    [[nodiscard]] bool is_in_pauses() const { return depth_ == 2 && top_field_ == pauses_field; }

    /// Take the next number of a signature with what is known against it, or of one that is sound. Return
    /// false where it is out of range.
    bool take_signature_field(std::uint64_t value);
    bool take_sound_field(std::uint64_t value);

    gateway::fleet_report report_;
    /// Number of arrays and objects that are open.
    std::size_t depth_ = 0;
    /// Index of the next element of the outermost array, or of the one that is being read.
    std::size_t top_field_ = 0;
    /// Index of the next field within an endpoint, account or signature.
    std::size_t entry_field_ = 0;
    /// Service whose accounts are being read.
    std::string service_;
};

} // namespace hemlocknotch::daemon
