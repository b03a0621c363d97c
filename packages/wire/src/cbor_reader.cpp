#include <hemlocknotch/wire/cbor_reader.hpp>

#include <cstddef>
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

std::optional<json> read_cbor(std::string_view bytes)
{
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
