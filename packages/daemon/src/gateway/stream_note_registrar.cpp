#include "stream_note_registrar.hpp"

#include "report_exchange.hpp"

#include <algorithm>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

std::span<const std::uint8_t> bytes_of(const std::string& text)
{
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

} // namespace

stream_note_registrar::stream_note_registrar(gateway::stream_note_store& store,
                                             gateway::stream_origins& origins, std::string prefix)
    : store_{store}, origins_{origins}, prefix_{std::move(prefix)}
{
}

void stream_note_registrar::update(const std::function<instant()>& now)
{
    if (is_calling_) {
        return;
    }
    if (!is_read_) {
        return read(now);
    }
    if (now() >= next_note_ && origins_.is_ambiguous(now())) {
        write(now);
    }
}

void stream_note_registrar::read(const std::function<instant()>& now)
{
    if (now() < next_read_) {
        return;
    }
    is_calling_ = true;
    store_.read_notes([this, now](const std::optional<std::vector<std::string>>& values) {
        is_calling_ = false;
        next_read_ = now() + retry_interval;
        if (!values) {
            return;
        }
        is_read_ = true;
        std::vector<gateway::stream_report> notes;
        for (const auto& it : *values) {
            if (auto note = decode_stream_report(bytes_of(it))) {
                note->known_for = duration::zero();
                notes.push_back(*std::move(note));
            }
        }
        origins_.apply_notes(notes, now());
        update(now);
    });
}

void stream_note_registrar::write(const std::function<instant()>& now)
{
    auto note = origins_.create_note(now());
    const auto has_streams =
        std::ranges::any_of(note.versions, [](const auto& it) { return !it.streams.empty(); });
    next_note_ = now() + note_interval;
    if (!has_streams && now() < next_outline_) {
        return;
    }
    const auto bytes = encode_stream_report(note);
    is_calling_ = true;
    store_.write_note(prefix_ + std::to_string(++last_note_), {bytes.begin(), bytes.end()},
                      std::max(min_time_to_live, origins_.lifetime() * 2),
                      [this, now, note = std::move(note)](bool is_written) {
                          is_calling_ = false;
                          if (is_written) {
                              next_outline_ = now() + outline_interval;
                          }
                          else {
                              origins_.return_note(note);
                          }
                      });
}

} // namespace hemlocknotch::daemon
