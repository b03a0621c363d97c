#include "connection_output_monitor.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cstddef>
#include <string_view>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

constexpr std::string_view status_line_start = "HTTP/1.1 ";
constexpr std::size_t status_digits = 3;
constexpr int continue_status = 100;

/// Status of the answer at the beginning of `output`; 0 where there is none.
int status_at_front(evbuffer* output)
{
    std::array<char, status_line_start.size() + status_digits> buf{};
    const auto n = evbuffer_copyout(output, buf.data(), buf.size());
    if (n != static_cast<ev_ssize_t>(buf.size())) {
        return 0;
    }
    const char* begin = buf.data() + status_line_start.size();
    int status = 0;
    std::from_chars(begin, begin + status_digits, status);
    return status;
}

} // namespace

connection_output_monitor::connection_output_monitor(event_base* base, std::size_t step_bytes,
                                                     taken_callback taken, page_callback page)
    : base_{base},
      step_bytes_{step_bytes},
      taken_{std::move(taken)},
      page_{std::move(page)},
      later_{base, [this] { work_off(); }}
{
    assert(taken_);
    assert(page_);
    assert(step_bytes_ > 0);
}

bufferevent* connection_output_monitor::make_connection()
{
    auto* connection = bufferevent_socket_new(base_, -1, 0);
    auto* output = bufferevent_get_output(connection);
    states_[output] = connection_state{.connection = connection};
    evbuffer_add_cb(output, handle_change, this);
    return connection;
}

void connection_output_monitor::begin(const evbuffer* output, exchange_id writer)
{
    assert(writer != 0);
    auto& state = states_[output];
    state.writer = writer;
    state.taken_bytes = 0;
    state.has_answered = true;
}

void connection_output_monitor::end(const evbuffer* output)
{
    states_[output].writer = 0;
}

void connection_output_monitor::forget(const evbuffer* output)
{
    states_.erase(output);
}

bool connection_output_monitor::has_unsent_bytes() const
{
    return std::ranges::any_of(
        states_, [](const auto& it) { return it.second.has_answered && evbuffer_get_length(it.first) > 0; });
}

void connection_output_monitor::handle_change(evbuffer* output, const evbuffer_cb_info* info, void* self)
{
    auto& outputs = *static_cast<connection_output_monitor*>(self);
    auto& state = outputs.states_[output];
    if (info->n_added > 0 && state.writer == 0) {
        outputs.note_page(state);
    }
    state.taken_bytes += info->n_deleted;
    if (state.writer != 0 && state.taken_bytes >= outputs.step_bytes_) {
        state.taken_bytes = 0;
        outputs.progressed_.push_back(state.writer);
        outputs.later_.activate();
    }
}

void connection_output_monitor::note_page(connection_state& state)
{
    if (state.is_page_noted) {
        return;
    }
    state.is_page_noted = true;
    bufferevent_incref(state.connection);
    pages_.push_back(state.connection);
    // The page is replaced once evhttp has written all of it, and before the loop sends any of it.
    later_.activate();
}

void connection_output_monitor::work_off()
{
    for (auto* connection : std::exchange(pages_, {})) {
        replace_page(connection);
        bufferevent_decref(connection);
    }
    for (const auto exchange : std::exchange(progressed_, {})) {
        taken_(exchange);
    }
}

void connection_output_monitor::replace_page(bufferevent* connection)
{
    auto* output = bufferevent_get_output(connection);
    states_[output].is_page_noted = false;
    const auto status = status_at_front(output);
    if (status == 0 || status == continue_status) {
        return;
    }
    const auto page = page_(status);
    states_[output].is_page_noted = true;
    evbuffer_drain(output, evbuffer_get_length(output));
    evbuffer_add(output, page.data(), page.size());
    states_[output].is_page_noted = false;
}

} // namespace hemlocknotch::daemon
