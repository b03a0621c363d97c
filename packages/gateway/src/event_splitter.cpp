#include <hemlocknotch/gateway/event_splitter.hpp>

#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace hemlocknotch::gateway {
namespace {

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

} // namespace

std::string_view event_splitter::append(std::string_view bytes)
{
    if (held_.empty()) {
        const auto end = end_of_events(bytes);
        held_.assign(bytes.substr(end));
        const auto complete = bytes.substr(0, end);
        note_ids(complete);
        return complete;
    }
    held_ += bytes;
    const auto end = end_of_events(held_);
    complete_.assign(held_, 0, end);
    held_.erase(0, end);
    note_ids(complete_);
    return complete_;
}

void event_splitter::note_ids(std::string_view events)
{
    constexpr std::string_view field = "id:";
    std::size_t begin = 0;
    while (begin < events.size()) {
        auto end = events.find('\n', begin);
        end = end == std::string_view::npos ? events.size() : end;
        auto line = events.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (std::exchange(is_continuing_, false) && !is_after(line, last_id_)) {
            has_repeated_event_ = true;
            return;
        }
        last_id_.assign(line);
    }
}

void event_splitter::begin_continuation()
{
    held_.clear();
    is_continuing_ = true;
    has_repeated_event_ = false;
}

} // namespace hemlocknotch::gateway
