#include <hemlocknotch/coordination/json_document.hpp>

#include <set>
#include <string>
#include <utility>

namespace hemlocknotch {
namespace {

using nlohmann::json;

constexpr std::size_t max_depth = 16;

/// Follows the parser through nested objects and finds keys that stand twice in one, and nesting that
/// no document needs.
class duplicate_key_finder {
public:
    explicit duplicate_key_finder(std::vector<document_error>& errors) : errors_{errors} {}

    /// Takes in a parser event at `depth` open objects and lists. Returns whether its value is kept.
    bool on_event(std::size_t depth, json::parse_event_t event, const json& parsed)
    {
        if (event == json::parse_event_t::key) {
            levels_.resize(depth);
            on_key(parsed.get<std::string>());
        }
        if (event != json::parse_event_t::object_start && event != json::parse_event_t::array_start) {
            return true;
        }
        levels_.resize(depth);
        if (depth == max_depth && !std::exchange(is_depth_reported_, true)) {
            errors_.push_back({path(), "objects and lists nested deeper than " + std::to_string(max_depth),
                               "at most " + std::to_string(max_depth) + " levels"});
        }
        levels_.emplace_back();
        return depth < max_depth;
    }

private:
    struct level {
        std::set<std::string> keys;
        std::string current;
    };

    void on_key(const std::string& key)
    {
        levels_.back().current = key;
        if (!levels_.back().keys.insert(key).second) {
            errors_.push_back(
                {path(), "the key a second time", "each key once in one object; remove one of them"});
        }
    }

    [[nodiscard]] std::string path() const
    {
        std::string text;
        for (const level& it : levels_) {
            if (!it.current.empty()) {
                text += (text.empty() ? "" : ".") + it.current;
            }
        }
        return text;
    }

    std::vector<document_error>& errors_;
    std::vector<level> levels_;
    bool is_depth_reported_ = false;
};

/// Returns what a parse error says behind its number, such as `parse error at line 3, column 5: ...`.
std::string text_of(const json::exception& error)
{
    const std::string text = error.what();
    const std::size_t end = text.find("] ");
    return end == std::string::npos ? text : text.substr(end + 2);
}

} // namespace

std::optional<json> parse_json_document(std::string_view text, std::vector<document_error>& errors)
{
    duplicate_key_finder finder{errors};
    const json::parser_callback_t callback = [&finder](int depth, json::parse_event_t event,
                                                       const json& parsed) {
        return finder.on_event(static_cast<std::size_t>(depth), event, parsed);
    };
    try {
        return json::parse(text, callback, true, true);
    }
    catch (const json::exception& error) {
        errors.push_back({"", text_of(error), "JSON, with comments where you like"});
        return std::nullopt;
    }
}

} // namespace hemlocknotch
