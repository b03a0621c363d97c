#include "link_codec.hpp"

#include <hemlocknotch/wire/cbor_reader.hpp>
#include <hemlocknotch/wire/message_codec.hpp>

#include "message_decoder.hpp"
#include "message_encoder.hpp"
#include "message_items.hpp"

#include <nlohmann/json.hpp>

#include <type_traits>
#include <utility>
#include <variant>

namespace hemlocknotch::detail {
namespace {

using json = nlohmann::json;

/// Whether `Message` has a short form. Submit and resolve have none: they are what assigns a dispatch its
/// number.
template <class Message>
constexpr bool has_short_form =
    std::is_same_v<Message, refuse_message> || std::is_same_v<Message, head_message> ||
    std::is_same_v<Message, part_message> || std::is_same_v<Message, end_message> ||
    std::is_same_v<Message, ack_message> || std::is_same_v<Message, cancel_message> ||
    std::is_same_v<Message, resolved_message>;

template <class Message>
constexpr bool assigns_number =
    std::is_same_v<Message, submit_message> || std::is_same_v<Message, resolve_message>;

/// Encodes all fields except request id and attempt, which are the first two.
class short_encoder {
public:
    explicit short_encoder(json::array_t& out) : encoder_{out} {}

    template <class... Fields>
    void operator()(const request_id& /*id*/, std::uint32_t /*attempt*/, const Fields&... fields)
    {
        encoder_(fields...);
    }

private:
    message_encoder encoder_;
};

/// Decodes the output of `short_encoder`, and sets request id and attempt from the dispatch.
class short_decoder {
public:
    short_decoder(json::array_t& in, const dispatch_key& key) : decoder_{in, first_field}, key_{key} {}

    template <class... Fields>
    void operator()(request_id& id, std::uint32_t& attempt, Fields&&... fields)
    {
        id = key_.id;
        attempt = key_.attempt;
        decoder_(fields...);
    }

    [[nodiscard]] bool is_complete() const { return decoder_.is_complete(); }

private:
    /// The kind and the dispatch number come first.
    static constexpr std::size_t first_field = 2;

    message_decoder decoder_;
    dispatch_key key_;
};

std::string encode_short(const message& value, std::uint64_t number)
{
    json::array_t fields;
    fields.emplace_back(value.index() + link_codec::short_form_base);
    fields.emplace_back(number);
    short_encoder encoder{fields};
    const auto append = [&encoder](const auto& content) {
        if constexpr (has_short_form<std::decay_t<decltype(content)>>) {
            visit_fields(encoder, content);
        }
    };
    std::visit(append, value);
    std::string buf;
    json::to_cbor(json(std::move(fields)), buf);
    return buf;
}

/// Returns the dispatch of `value`; nothing if that kind of message has no short form.
std::optional<dispatch_key> key_of(const message& value)
{
    const auto read = [](const auto& content) -> std::optional<dispatch_key> {
        if constexpr (has_short_form<std::decay_t<decltype(content)>>) {
            return dispatch_key{content.id, content.attempt};
        }
        return std::nullopt;
    };
    return std::visit(read, value);
}

template <std::size_t Kind = 0>
std::optional<message> decode_short(std::uint64_t kind, json::array_t& fields, const dispatch_key& key)
{
    if constexpr (Kind < std::variant_size_v<message>) {
        using content_type = std::variant_alternative_t<Kind, message>;
        if (kind != Kind) {
            return decode_short<Kind + 1>(kind, fields, key);
        }
        if constexpr (has_short_form<content_type>) {
            content_type content;
            short_decoder decoder{fields, key};
            visit_fields(decoder, content);
            return decoder.is_complete() ? std::optional<message>{std::move(content)} : std::nullopt;
        }
    }
    return std::nullopt;
}

/// Returns whether `item` begins like a message in short form.
bool is_short_form(const json& item)
{
    constexpr std::size_t min_size = 2;
    return item.is_array() && item.size() >= min_size && item[0].is_number_unsigned() &&
           item[1].is_number_unsigned() && item[0].get<std::uint64_t>() >= link_codec::short_form_base;
}

} // namespace

std::string link_codec::encode(const message& value)
{
    assign_number(value);
    const std::optional<dispatch_key> key = key_of(value);
    const std::optional<std::uint64_t> number = key ? numbers_.number_of(*key) : std::nullopt;
    return number ? encode_short(value, *number) : encode_message(value);
}

decoded_frame link_codec::decode(std::string_view bytes)
{
    std::optional<json> item = read_cbor(bytes);
    if (!item) {
        return {frame_kind::malformed, {}};
    }
    if (!is_short_form(*item)) {
        std::optional<message> value = decode_message(*item);
        if (!value) {
            return {frame_kind::malformed, {}};
        }
        assign_number(*value);
        return {frame_kind::message, std::move(*value)};
    }
    const std::optional<dispatch_key> key = numbers_.find((*item)[1].get<std::uint64_t>());
    if (!key) {
        return {frame_kind::outdated, {}};
    }
    const std::uint64_t kind = (*item)[0].get<std::uint64_t>() - short_form_base;
    std::optional<message> value = decode_short(kind, item->get_ref<json::array_t&>(), *key);
    if (!value) {
        return {frame_kind::malformed, {}};
    }
    return {frame_kind::message, std::move(*value)};
}

void link_codec::assign_number(const message& value)
{
    const auto add = [this](const auto& content) {
        if constexpr (assigns_number<std::decay_t<decltype(content)>>) {
            numbers_.add({content.id, content.attempt});
        }
    };
    std::visit(add, value);
}

} // namespace hemlocknotch::detail
