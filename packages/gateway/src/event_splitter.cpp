#include <hemlocknotch/gateway/event_splitter.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace hemlocknotch::gateway {
namespace {

constexpr std::string_view id_field = "id:";

/// Returns the position after the last blank line in `text`; 0 if there is none.
std::size_t end_of_events(std::string_view text)
{
    for (auto n = text.rfind('\n'); n != std::string_view::npos && n > 0; n = text.rfind('\n', n - 1)) {
        const auto before = text[n - 1];
        if (before == '\n' || (before == '\r' && n > 1 && text[n - 2] == '\n')) {
            return n + 1;
        }
    }
    return 0;
}

std::optional<std::uint64_t> number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, value);
    return ec == std::errc{} && stop == end ? std::optional{value} : std::nullopt;
}

bool is_after(std::string_view id, std::string_view earlier)
{
    const auto value = number(id);
    const auto bound = number(earlier);
    return !value || !bound || *value > *bound;
}

/// Returns the id in an `id` line; empty where it holds a byte that no header may hold.
std::string_view id_in(std::string_view line)
{
    line.remove_prefix(id_field.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    const auto is_control = [](char it) { return static_cast<unsigned char>(it) < ' ' || it == '\x7f'; };
    return std::ranges::any_of(line, is_control) ? std::string_view{} : line;
}

} // namespace

std::string_view event_splitter::append(std::string_view bytes)
{
    complete_ = {};
    if (held_.empty()) {
        const auto end = end_of_events(bytes);
        held_ = bytes.substr(end);
        const auto complete = bytes.substr(0, end);
        note_ids(complete);
        return complete;
    }
    held_ += bytes;
    const auto end = end_of_events(held_);
    complete_.assign(held_, 0, end);
    held_ = held_.substr(end);
    note_ids(complete_);
    return complete_;
}

void event_splitter::note_ids(std::string_view events)
{
    bool has_data = false;
    std::size_t begin = 0;
    while (begin < events.size()) {
        auto end = events.find('\n', begin);
        end = end == std::string_view::npos ? events.size() : end;
        auto line = events.substr(begin, end - begin);
        begin = end + 1;
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.empty() && is_continuing_ && has_data) {
            is_not_continued_ = true;
            return;
        }
        has_data = !line.empty() && (has_data || line.starts_with("data"));
        if (line.starts_with(id_field) && !note_id(id_in(line))) {
            return;
        }
    }
}

bool event_splitter::note_id(std::string_view id)
{
    if (is_continuing_ && !id.empty()) {
        is_continuing_ = false;
        is_not_continued_ = !is_after(id, last_id_);
    }
    if (!is_continuing_ && !is_not_continued_) {
        last_id_.assign(id);
    }
    return !is_not_continued_;
}

void event_splitter::begin_continuation()
{
    held_.clear();
    is_continuing_ = !last_id_.empty();
    is_not_continued_ = false;
}

} // namespace hemlocknotch::gateway
