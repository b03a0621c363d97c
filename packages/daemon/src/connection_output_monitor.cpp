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

/// Returns the status of the answer at the start of `output`; 0 if there is none.
int status_at_start(evbuffer* output)
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
                                                     progress_callback on_progress, page_callback page)
    : base_{base},
      step_bytes_{step_bytes},
      on_progress_{std::move(on_progress)},
      page_{std::move(page)},
      deferred_{base, [this] { process_pending(); }}
{
    assert(on_progress_);
    assert(page_);
    assert(step_bytes_ > 0);
}

bufferevent* connection_output_monitor::create_connection()
{
    auto* connection = bufferevent_socket_new(base_, -1, 0);
    auto* output = bufferevent_get_output(connection);
    states_[output] = connection_state{.connection = connection};
    evbuffer_add_cb(output, handle_change, this);
    return connection;
}

void connection_output_monitor::begin_answer(const evbuffer* output, exchange_id exchange)
{
    assert(exchange != 0);
    auto& state = states_[output];
    state.exchange = exchange;
    state.written_bytes = 0;
    state.has_answered = true;
}

void connection_output_monitor::end_answer(const evbuffer* output)
{
    states_[output].exchange = 0;
}

void connection_output_monitor::remove(const evbuffer* output)
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
    if (info->n_added > 0 && state.exchange == 0) {
        outputs.schedule_page_replacement(state);
    }
    state.written_bytes += info->n_deleted;
    if (state.exchange != 0 && state.written_bytes >= outputs.step_bytes_) {
        state.written_bytes = 0;
        outputs.progressed_.push_back(state.exchange);
        outputs.deferred_.activate();
    }
}

void connection_output_monitor::schedule_page_replacement(connection_state& state)
{
    if (state.is_page_pending) {
        return;
    }
    state.is_page_pending = true;
    bufferevent_incref(state.connection);
    pending_pages_.push_back(state.connection);
    // Replaces the page after evhttp has written all of it to the buffer, and before the event loop sends any
    // of it.
    deferred_.activate();
}

void connection_output_monitor::process_pending()
{
    for (auto* connection : std::exchange(pending_pages_, {})) {
        replace_page(connection);
        bufferevent_decref(connection);
    }
    for (const auto exchange : std::exchange(progressed_, {})) {
        on_progress_(exchange);
    }
}

void connection_output_monitor::replace_page(bufferevent* connection)
{
    auto* output = bufferevent_get_output(connection);
    states_[output].is_page_pending = false;
    const auto status = status_at_start(output);
    if (status == 0 || status == continue_status) {
        return;
    }
    const auto page = page_(status);
    states_[output].is_page_pending = true;
    evbuffer_drain(output, evbuffer_get_length(output));
    evbuffer_add(output, page.data(), page.size());
    states_[output].is_page_pending = false;
}

} // namespace hemlocknotch::daemon
