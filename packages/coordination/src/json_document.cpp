#include <hemlocknotch/coordination/json_document.hpp>

#include <set>
#include <string>
#include <utility>

namespace hemlocknotch {
namespace {

using nlohmann::json;

constexpr std::size_t max_depth = 16;

/// Receives the parser's events and reports keys that occur twice in one object, and nesting deeper than
/// `max_depth`.
class document_checker {
public:
    explicit document_checker(std::vector<document_error>& errors) : errors_{errors} {}

    /// Handles a parser event that occurs within `depth` open objects and arrays. Returns false if the parser
    /// is to discard the value.
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
            errors_.push_back({path(), "objects and arrays nested deeper than " + std::to_string(max_depth),
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
            errors_.push_back({path(), "a duplicate key", "each key once per object; remove one of the two"});
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

/// Returns the message of a parse error without the library's error number, such as
/// `parse error at line 3, column 5: ...`.
std::string message_of(const json::exception& error)
{
    const std::string text = error.what();
    const std::size_t end = text.find("] ");
    return end == std::string::npos ? text : text.substr(end + 2);
}

} // namespace

std::optional<json> parse_json_document(std::string_view text, std::vector<document_error>& errors)
{
    document_checker checker{errors};
    const json::parser_callback_t callback = [&checker](int depth, json::parse_event_t event,
                                                        const json& parsed) {
        return checker.on_event(static_cast<std::size_t>(depth), event, parsed);
    };
    try {
        return json::parse(text, callback, true, true);
    }
    catch (const json::exception& error) {
        errors.push_back({"", message_of(error), "JSON; comments are allowed"});
        return std::nullopt;
    }
}

} // namespace hemlocknotch
