#pragma once

#include "message_fields.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace hemlocknotch::detail {

/// Reads the fields of one message from a JSON array. After a field that is missing, has the wrong type or is
/// out of range, the values of further fields are unspecified and `is_complete` returns false.
class message_decoder {
public:
    /// Starts at index `first` of `in`. `in` must outlive the decoder, which moves strings out of it.
    message_decoder(nlohmann::json::array_t& in, std::size_t first) : in_{in}, next_{first} {}

    /// Reads each of `fields` in turn.
    template <class... Fields>
    void operator()(Fields&&... fields)
    {
        (read(fields), ...);
    }

    /// Returns whether all fields were read without an error and no element is left.
    [[nodiscard]] bool is_complete() const { return is_good_ && next_ == in_.size(); }

private:
    nlohmann::json* take()
    {
        if (next_ >= in_.size()) {
            is_good_ = false;
        }
        return is_good_ ? &in_[next_++] : nullptr;
    }

    void require(bool condition) { is_good_ = is_good_ && condition; }

    std::uint64_t take_unsigned(std::uint64_t limit)
    {
        const nlohmann::json* const it = take();
        if (it == nullptr || !it->is_number_unsigned()) {
            is_good_ = false;
            return 0;
        }
        const auto n = it->get<std::uint64_t>();
        require(n <= limit);
        return n;
    }

    void read(bool& value)
    {
        const nlohmann::json* const it = take();
        require(it != nullptr && it->is_boolean());
        value = is_good_ && it->get<bool>();
    }

    void read(std::uint32_t& value)
    {
        value = static_cast<std::uint32_t>(take_unsigned(std::numeric_limits<std::uint32_t>::max()));
    }

    void read(std::uint64_t& value) { value = take_unsigned(std::numeric_limits<std::uint64_t>::max()); }

    void read(double& value)
    {
        const nlohmann::json* const it = take();
        require(it != nullptr && it->is_number());
        value = is_good_ ? it->get<double>() : 0.0;
        require(std::isfinite(value));
    }

    void read(std::string& value)
    {
        nlohmann::json* const it = take();
        require(it != nullptr && it->is_string());
        if (is_good_) {
            value = std::move(it->get_ref<std::string&>());
        }
    }

    void read(duration& value)
    {
        const nlohmann::json* const it = take();
        require(it != nullptr && it->is_number_integer());
        value = duration{is_good_ ? it->get<std::int64_t>() : 0};
    }

    void read(account_key& value)
    {
        std::uint32_t n = 0;
        read(n);
        value = account_key{n};
    }

    void read(request_id& value)
    {
        std::uint64_t origin = 0;
        std::uint64_t sequence = 0;
        read(origin);
        read(sequence);
        value = request_id{origin, sequence};
    }

    void read(byte_string<std::string>& bytes)
    {
        nlohmann::json* const it = take();
        require(it != nullptr && it->is_binary());
        if (is_good_) {
            const auto& buf = it->get_binary();
            bytes.value.assign(buf.begin(), buf.end());
        }
    }

    template <class Enum>
    requires std::is_enum_v<Enum>

    void read(Enum& value)
    {
        value = static_cast<Enum>(take_unsigned(static_cast<std::uint64_t>(last_of(Enum{}))));
    }

    nlohmann::json::array_t* take_array()
    {
        nlohmann::json* const it = take();
        require(it != nullptr && it->is_array());
        return is_good_ ? &it->get_ref<nlohmann::json::array_t&>() : nullptr;
    }

    template <class Item>
    void read(std::vector<Item>& items)
    {
        nlohmann::json::array_t* const list = take_array();
        if (list == nullptr) {
            return;
        }
        message_decoder decoder{*list, 0};
        items.clear();
        while (decoder.is_good_ && decoder.next_ < list->size()) {
            decoder.read(items.emplace_back());
        }
        require(decoder.is_complete());
    }

    template <class Record>
    requires std::is_class_v<Record>

    void read(Record& record)
    {
        nlohmann::json::array_t* const list = take_array();
        if (list == nullptr) {
            return;
        }
        message_decoder decoder{*list, 0};
        visit_fields(decoder, record);
        require(decoder.is_complete());
    }

    nlohmann::json::array_t& in_;
    std::size_t next_;
    bool is_good_ = true;
};

} // namespace hemlocknotch::detail
