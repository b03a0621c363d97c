#include <hemlocknotch/standins/engine_stream.hpp>
#include <hemlocknotch/standins/expected_answer.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace hemlocknotch::standins {

engine_stream::engine_stream(std::string body, std::uint64_t tokens, duration prefill)
    : body_{std::move(body)}, tokens_{tokens}, prefill_left_{prefill}
{
}

void engine_stream::step(duration elapsed)
{
    assert(!is_done());
    if (prefill_left_ > duration::zero()) {
        prefill_left_ -= elapsed;
        return;
    }
    answer_ += answer_line(body_, produced_);
    ++produced_;
}

void engine_stream::attach(std::unique_ptr<response_stream> reader, std::size_t offset)
{
    reader_ = std::move(reader);
    sent_ = offset;
    unread_since_ = instant::max();
}

void engine_stream::flush(std::size_t cut_after)
{
    if (!has_reader()) {
        return;
    }
    const std::size_t limit = cut_after == 0 ? answer_.size() : std::min(cut_after, answer_.size());
    if (sent_ < limit) {
        reader_->write(std::string_view{answer_}.substr(sent_, limit - sent_));
        sent_ = limit;
    }
    if (cut_after != 0 && sent_ >= cut_after) {
        reader_.reset();
        return;
    }
    if (is_done() && sent_ == answer_.size()) {
        reader_->finish();
        reader_.reset();
    }
}

void engine_stream::note_reader(instant at)
{
    if (has_reader()) {
        unread_since_ = instant::max();
    }
    else if (unread_since_ == instant::max()) {
        unread_since_ = at;
    }
}

} // namespace hemlocknotch::standins
