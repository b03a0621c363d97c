#include <hemlocknotch/gateway/event_splitter.hpp>

namespace hemlocknotch::gateway {
namespace {

/// Returns the position after the last blank line in `text`; 0 where there is none.
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

} // namespace

std::string_view event_splitter::append(std::string_view bytes)
{
    if (held_.empty()) {
        const auto end = end_of_events(bytes);
        held_.assign(bytes.substr(end));
        const auto whole = bytes.substr(0, end);
        note_ids(whole);
        return whole;
    }
    held_ += bytes;
    const auto end = end_of_events(held_);
    whole_.assign(held_, 0, end);
    held_.erase(0, end);
    note_ids(whole_);
    return whole_;
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
        last_id_.assign(line);
    }
}

} // namespace hemlocknotch::gateway
