#include <hemlocknotch/wire/cbor_reader.hpp>

#include <cstddef>
#include <cstdint>
#include <utility>

namespace hemlocknotch::detail {
namespace {

using json = nlohmann::json;

/// Builds the value like the library's own parser, but stops at an object and at arrays nested too deeply:
/// the library's reader recurses at each level and would overflow the stack.
class bounded_builder : public nlohmann::detail::json_sax_dom_parser<json> {
public:
    explicit bounded_builder(json& result) : json_sax_dom_parser{result, throws} {}

    bool start_array(std::size_t n)
    {
        constexpr std::size_t max_depth = 8;
        ++depth_;
        return depth_ <= max_depth && json_sax_dom_parser::start_array(n);
    }

    bool end_array()
    {
        --depth_;
        return json_sax_dom_parser::end_array();
    }

    // NOLINTNEXTLINE(readability-convert-member-functions-to-static): the library calls it as a member.
    bool start_object(std::size_t /*n*/) { return false; }

private:
    static constexpr bool throws = false;

    std::size_t depth_ = 0;
};

} // namespace

bool has_stated_lengths(std::string_view bytes)
{
    constexpr unsigned major_shift = 5;
    constexpr unsigned argument_mask = 0x1f;
    constexpr unsigned first_wide_argument = 24;
    constexpr unsigned last_wide_argument = 27;
    constexpr unsigned not_stated = 31;
    constexpr unsigned bits_per_byte = 8;
    while (!bytes.empty()) {
        const auto initial = static_cast<unsigned char>(bytes.front());
        bytes.remove_prefix(1);
        const auto major = initial >> major_shift;
        const auto is_string = major == 2 || major == 3;
        std::uint64_t argument = initial & argument_mask;
        if (is_string && argument == not_stated) {
            return false;
        }
        if (argument >= first_wide_argument && argument <= last_wide_argument) {
            const auto width = std::size_t{1} << (argument - first_wide_argument);
            if (bytes.size() < width) {
                return false;
            }
            argument = 0;
            for (const auto c : bytes.substr(0, width)) {
                argument = argument << bits_per_byte | static_cast<unsigned char>(c);
            }
            bytes.remove_prefix(width);
        }
        if (is_string) {
            if (argument > bytes.size()) {
                return false;
            }
            bytes.remove_prefix(argument);
        }
    }
    return true;
}

std::optional<json> read_cbor(std::string_view bytes)
{
    if (!has_stated_lengths(bytes)) {
        return std::nullopt;
    }
    json item;
    bounded_builder builder{item};
    try {
        if (!json::sax_parse(bytes, &builder, json::input_format_t::cbor)) {
            return std::nullopt;
        }
    }
    catch (const json::exception&) {
        // An array states a length that memory cannot hold; the library throws even if told not to.
        return std::nullopt;
    }
    return item;
}

} // namespace hemlocknotch::detail
