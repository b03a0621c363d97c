#pragma once

#include <hemlocknotch/gateway/fleet_report.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>

namespace hemlocknotch::daemon {

/// Reads a report while it is parsed, without a tree of its values: in a large fleet a gateway takes some 80
/// of a hundred fields and more each second. Layout: gateway, incarnation, sequence, a flat list of
/// endpoints, and an object of services with a flat list of accounts each. One report a reader.
class report_sax_handler final : public nlohmann::json_sax<nlohmann::json> {
public:
    /// Returns whether all of a report has been read.
    [[nodiscard]] bool is_complete() const { return place_ == top_fields && depth_ == 0; }

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
    /// Elements of the outermost list.
    static constexpr std::size_t top_fields = 5;
    static constexpr std::size_t endpoints_place = 3;
    static constexpr std::size_t accounts_place = 4;

    [[nodiscard]] bool is_in_endpoints() const { return depth_ == 2 && place_ == endpoints_place; }

    [[nodiscard]] bool is_in_accounts() const { return depth_ == 3 && place_ == accounts_place; }

    gateway::fleet_report report_;
    /// Of lists and objects that are open.
    std::size_t depth_ = 0;
    /// Of the element of the outermost list.
    std::size_t place_ = 0;
    /// Of the field within one endpoint or account.
    std::size_t field_ = 0;
    std::string service_;
};

} // namespace hemlocknotch::daemon
