#pragma once

#include <hemlocknotch/core/header_name.hpp>
#include <hemlocknotch/gateway/request_fields.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::daemon {

/// A minimal message dialect, so that tests of connections do not depend on the platform's headers.
class plain_dialect final : public gateway::message_dialect {
public:
    [[nodiscard]] std::string read_request(const std::vector<gateway::header_field>& headers,
                                           gateway::request_fields& fields) const override
    {
        for (const auto& it : headers) {
            if (is_same_header(it.name, "Id")) {
                fields.id = it.value;
            }
            else if (is_same_header(it.name, "Key")) {
                fields.key = it.value;
            }
        }
        return fields.id.empty() ? "The request has no id." : "";
    }

    [[nodiscard]] bool is_set_by_gateway(std::string_view name) const override
    {
        return is_same_header(name, "Key") || is_same_header(name, "Account") ||
               is_same_header(name, "Memory");
    }

    [[nodiscard]] bool is_part_of_request(std::string_view name) const override
    {
        return is_same_header(name, "Id") || is_same_header(name, "Model");
    }

    void append_endpoint_headers(std::string& out, duration remaining, std::string_view instance,
                                 std::string_view account, std::string_view last_event_id) const override
    {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
        out += "Remaining: " + std::to_string(ms) + "\r\nInstance: " + std::string{instance} + "\r\n";
        if (!account.empty()) {
            out += "Account: " + std::string{account} + "\r\n";
        }
        if (!last_event_id.empty()) {
            out += "After: " + std::string{last_event_id} + "\r\n";
        }
    }

    [[nodiscard]] gateway::answer_fields
    read_answer(int /*status*/, const std::vector<gateway::header_field>& headers) const override
    {
        gateway::answer_fields out;
        for (const auto& it : headers) {
            if (is_same_header(it.name, "Id")) {
                out.request_id = it.value;
            }
            else if (is_same_header(it.name, "Signature")) {
                out.is_signed = true;
            }
        }
        return out;
    }

    [[nodiscard]] std::string_view readiness_path() const override { return "/ready"; }
};

} // namespace hemlocknotch::daemon
