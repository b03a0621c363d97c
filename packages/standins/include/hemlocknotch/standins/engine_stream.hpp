#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/standins/http_server.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace hemlocknotch::standins {

/// One request at an engine: what it has produced and who reads it. The answer is kept whole, so that a
/// reader can come later. One thread.
class engine_stream {
public:
    /// Makes the stream of a request with `body` that will have `tokens` lines after `prefill`.
    engine_stream(std::string body, std::uint64_t tokens, duration prefill);

    /// Produces what one step of `elapsed` yields: nothing while the prompt is read, then one line a step.
    /// Precondition: not done.
    void step(duration elapsed);

    /// Returns whether every line has been produced.
    [[nodiscard]] bool is_done() const { return produced_ == tokens_; }

    /// Returns the number of lines produced.
    [[nodiscard]] std::uint64_t produced() const { return produced_; }

    /// Sends the answer from byte `offset` on to `reader` in place of any earlier reader.
    void attach(std::unique_ptr<response_stream> reader, std::size_t offset);

    /// Sends what is new to the reader and, at the end, the final chunk. With `cut_after` above 0 the
    /// reader's connection is closed once that many bytes of the answer have been sent.
    void flush(std::size_t cut_after);

    /// Returns whether somebody reads.
    [[nodiscard]] bool has_reader() const { return reader_ && reader_->is_open(); }

    /// Takes the reader away, connection open; null where there is none.
    [[nodiscard]] std::unique_ptr<response_stream> detach_reader() { return std::move(reader_); }

    /// Returns since when nobody has read, as noted by `note_reader`.
    [[nodiscard]] instant unread_since() const { return unread_since_; }

    /// Notes whether somebody reads at `at`.
    void note_reader(instant at);

private:
    std::string body_;
    std::uint64_t tokens_;
    duration prefill_left_;
    std::uint64_t produced_ = 0;
    std::string answer_;
    std::size_t sent_ = 0;
    std::unique_ptr<response_stream> reader_;
    instant unread_since_ = instant::max();
};

} // namespace hemlocknotch::standins
