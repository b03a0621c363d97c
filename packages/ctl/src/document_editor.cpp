#include <hemlocknotch/ctl/document_editor.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace hemlocknotch {
namespace {

constexpr std::string_view edited_key = "out_of_service";

/// Where a value stands in a text.
struct text_range {
    std::size_t begin = 0;
    std::size_t end = 0;
};

/// Walks over the top level of a JSON text with comments that has been parsed before.
class member_finder {
public:
    explicit member_finder(std::string_view text) : text_{text} {}

    /// Looks for the member `key` of the outermost object. Returns whether the text is an object.
    bool find(std::string_view key)
    {
        std::size_t at = skip_blank(0);
        if (at >= text_.size() || text_[at] != '{') {
            return false;
        }
        at = skip_blank(at + 1);
        last_end_ = at;
        while (at < text_.size() && text_[at] == '"') {
            const std::size_t key_end = skip_string(at);
            const std::string_view name = text_.substr(at, key_end - at);
            const std::size_t begin = skip_blank(skip_blank(key_end) + 1);
            last_end_ = skip_value(begin);
            if (nlohmann::json::parse(name).get<std::string>() == key) {
                found_ = text_range{begin, last_end_};
            }
            at = skip_blank(last_end_);
            if (at < text_.size() && text_[at] == ',') {
                at = skip_blank(at + 1);
            }
        }
        return at < text_.size();
    }

    /// Returns where the value of the member stands; nothing where there is none.
    [[nodiscard]] const std::optional<text_range>& found() const { return found_; }

    /// Returns the end of the last member's value.
    [[nodiscard]] std::size_t last_end() const { return last_end_; }

private:
    [[nodiscard]] bool starts(std::size_t at, std::string_view token) const
    {
        return text_.substr(at, token.size()) == token;
    }

    /// Returns the end of the token that begins with `open` at `at` and ends with `close`.
    [[nodiscard]] std::size_t skip_past(std::size_t at, std::string_view close) const
    {
        const std::size_t end = text_.find(close, at);
        return end == std::string_view::npos ? text_.size() : end + close.size();
    }

    [[nodiscard]] std::size_t skip_blank(std::size_t at) const
    {
        constexpr std::string_view blanks = " \t\r\n";
        constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";
        while (at < text_.size()) {
            if (starts(at, "//")) {
                at = skip_past(at, "\n");
            }
            else if (starts(at, "/*")) {
                at = skip_past(at + 2, "*/");
            }
            else if (starts(at, byte_order_mark)) {
                at += byte_order_mark.size();
            }
            else if (blanks.find(text_[at]) != std::string_view::npos) {
                ++at;
            }
            else {
                break;
            }
        }
        return at;
    }

    [[nodiscard]] std::size_t skip_string(std::size_t at) const
    {
        ++at;
        while (at < text_.size() && text_[at] != '"') {
            at += text_[at] == '\\' ? 2 : 1;
        }
        return at + 1;
    }

    /// Returns the end of the value at `at`: a string, an object or list with all that is in it, or a word.
    [[nodiscard]] std::size_t skip_value(std::size_t at) const
    {
        if (starts(at, "\"")) {
            return skip_string(at);
        }
        if (starts(at, "{") || starts(at, "[")) {
            return skip_nested(at);
        }
        return std::min(text_.find_first_of(",}]/ \t\r\n", at), text_.size());
    }

    [[nodiscard]] std::size_t skip_nested(std::size_t at) const
    {
        std::size_t depth = 0;
        do {
            if (starts(at, "\"")) {
                at = skip_string(at);
                continue;
            }
            if (const std::size_t next = skip_blank(at); next != at) {
                at = next;
                continue;
            }
            depth += starts(at, "{") || starts(at, "[") ? 1 : 0;
            depth -= starts(at, "}") || starts(at, "]") ? 1 : 0;
            ++at;
        } while (depth > 0 && at < text_.size());
        return at;
    }

    std::string_view text_;
    std::optional<text_range> found_;
    std::size_t last_end_ = 0;
};

std::string write_list(const std::set<std::string, std::less<>>& names)
{
    return nlohmann::json(std::vector<std::string>(names.begin(), names.end())).dump();
}

} // namespace

std::optional<std::string> replace_out_of_service(std::string_view document, const out_of_service& out)
{
    const std::string value = R"({"failure_domains": )" + write_list(out.failure_domains) +
                              R"(, "instances": )" + write_list(out.instances) + "}";
    member_finder finder{document};
    if (!finder.find(edited_key)) {
        return std::nullopt;
    }
    std::string edited{document};
    if (finder.found()) {
        const text_range range = *finder.found();
        return edited.replace(range.begin, range.end - range.begin, value);
    }
    return edited.insert(finder.last_end(), ",\n  \"" + std::string{edited_key} + "\": " + value);
}

std::string keep_out_of_service(std::string_view document, const out_of_service& out)
{
    member_finder finder{document};
    const bool is_edited = finder.find(edited_key) && !finder.found() && out != out_of_service{};
    return is_edited ? replace_out_of_service(document, out).value() : std::string{document};
}

} // namespace hemlocknotch
