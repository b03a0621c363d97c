#include <hemlocknotch/wire/cbor_reader.hpp>
#include <hemlocknotch/wire/message_codec.hpp>

#include "message_decoder.hpp"
#include "message_encoder.hpp"
#include "message_items.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <utility>
#include <variant>

namespace hemlocknotch {
namespace {

using json = nlohmann::json;

template <class Message>
std::optional<message> decode_as(json::array_t& fields)
{
    constexpr std::size_t first_field = 1;
    detail::message_decoder decoder{fields, first_field};
    Message value;
    detail::visit_fields(decoder, value);
    if (!decoder.is_complete()) {
        return std::nullopt;
    }
    return message{std::move(value)};
}

using decode_function = std::optional<message> (*)(json::array_t&);

template <std::size_t... Kinds>
constexpr auto list_decode_functions(std::index_sequence<Kinds...> /*kinds*/)
{
    return std::array<decode_function, sizeof...(Kinds)>{
        &decode_as<std::variant_alternative_t<Kinds, message>>...};
}

constexpr auto decode_functions =
    list_decode_functions(std::make_index_sequence<std::variant_size_v<message>>{});

} // namespace

std::string encode_message(const message& value)
{
    json::array_t fields;
    fields.emplace_back(value.index());
    detail::message_encoder encoder{fields};
    std::visit([&encoder](const auto& content) { detail::visit_fields(encoder, content); }, value);
    std::string buf;
    json::to_cbor(json(std::move(fields)), buf);
    return buf;
}

std::optional<message> detail::decode_message(json& item)
{
    if (!item.is_array() || item.empty() || !item.front().is_number_unsigned()) {
        return std::nullopt;
    }
    const auto kind = item.front().get<std::uint64_t>();
    if (kind >= decode_functions.size()) {
        return std::nullopt;
    }
    return decode_functions.at(kind)(item.get_ref<json::array_t&>());
}

std::optional<message> decode_message(std::string_view bytes)
{
    std::optional<json> item = detail::read_cbor(bytes);
    if (!item) {
        return std::nullopt;
    }
    return detail::decode_message(*item);
}

std::size_t body_bytes_of(const message& value)
{
    if (const auto* const submit = std::get_if<submit_message>(&value)) {
        return submit->body.size();
    }
    if (const auto* const part = std::get_if<part_message>(&value)) {
        return part->bytes.size();
    }
    return 0;
}

} // namespace hemlocknotch
