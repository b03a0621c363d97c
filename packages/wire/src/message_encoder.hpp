#pragma once

#include "message_fields.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace hemlocknotch::detail {

/// Appends the fields of one message to a JSON array, which the library then encodes as CBOR.
class message_encoder {
public:
    /// Appends to `out`, which must be an array and outlive the encoder.
    explicit message_encoder(nlohmann::json::array_t& out) : out_{out} {}

    /// Appends each of `fields`. Never fails.
    template <class... Fields>
    void operator()(const Fields&... fields)
    {
        (append(fields), ...);
    }

private:
    void append(bool value) { out_.emplace_back(value); }

    void append(std::uint32_t value) { out_.emplace_back(value); }

    void append(std::uint64_t value) { out_.emplace_back(value); }

    void append(double value) { out_.emplace_back(value); }

    void append(const std::string& value) { out_.emplace_back(value); }

    void append(duration value) { out_.emplace_back(value.count()); }

    void append(account_key value) { out_.emplace_back(value.value()); }

    void append(const request_id& value)
    {
        out_.emplace_back(value.origin());
        out_.emplace_back(value.sequence());
    }

    void append(const byte_string<const std::string>& bytes)
    {
        out_.emplace_back(
            nlohmann::json::binary(std::vector<std::uint8_t>(bytes.value.begin(), bytes.value.end())));
    }

    template <class Enum>
    requires std::is_enum_v<Enum>

    void append(Enum value) { out_.emplace_back(static_cast<std::uint32_t>(value)); }

    template <class Item>
    void append(const std::vector<Item>& items)
    {
        nlohmann::json::array_t list;
        list.reserve(items.size());
        message_encoder encoder{list};
        for (const Item& item : items) {
            encoder.append(item);
        }
        out_.emplace_back(std::move(list));
    }

    template <class Record>
    requires std::is_class_v<Record>

    void append(const Record& record)
    {
        nlohmann::json::array_t list;
        message_encoder encoder{list};
        visit_fields(encoder, record);
        out_.emplace_back(std::move(list));
    }

    nlohmann::json::array_t& out_;
};

} // namespace hemlocknotch::detail
