#include "endpoint_client.hpp"

#include "endpoint_request.hpp"

#include <cassert>
#include <limits>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

constexpr duration cancel_timeout = std::chrono::seconds{5};

/// Sink of cancellation calls, whose answers are ignored.
class null_sink final : public endpoint_sink {
public:
    void on_head(endpoint_head_event /*head*/) override {}

    void on_part(endpoint_part_event /*part*/) override {}

    void on_end(const endpoint_end_event& /*end*/) override {}

    void on_health(const endpoint_health_event& /*health*/) override {}

    void on_cache(endpoint_cache_event /*cache*/) override {}
};

null_sink& null_sink_instance()
{
    static null_sink sink;
    return sink;
}

} // namespace

endpoint_client::endpoint_client(event_base* base, const endpoint_address& endpoint, endpoint_kind kind,
                                 endpoint_sink& sink)
    : base_{base},
      endpoint_{endpoint},
      kind_{kind},
      sink_{sink},
      next_cancel_{std::numeric_limits<call_id>::max()},
      clean_up_{base, [this] { retired_.clear(); }},
      unsupported_resumes_timer_{base, [this] { report_unsupported_resumes(); }}
{
}

void endpoint_client::start(const start_call_effect& call)
{
    assert(!calls_.contains(call.call));
    const auto is_resume = call.offset > 0;
    if (is_resume && kind_ == endpoint_kind::plain) {
        // A plain service has no streams: a call to resume would execute another request.
        unsupported_resumes_.push_back(call.call);
        unsupported_resumes_timer_.activate();
        return;
    }
    const auto request =
        is_resume ? create_resume_request(call, endpoint_) : create_call_request(call, endpoint_);
    auto done = [this](call_id number) { retire(number); };
    calls_.emplace(call.call, std::make_unique<endpoint_call>(base_, call.call, endpoint_, request,
                                                              endpoint_call_options{.is_resume = is_resume},
                                                              sink_, std::move(done)));
}

void endpoint_client::stop(const stop_call_effect& stop)
{
    std::erase(unsupported_resumes_, stop.call);
    if (const auto it = calls_.find(stop.call); it != calls_.end()) {
        it->second->detach();
        retire(stop.call);
    }
    if (!stop.is_cancel || kind_ != endpoint_kind::engine) {
        return;
    }
    const auto number = next_cancel_--;
    calls_.emplace(number, std::make_unique<endpoint_call>(
                               base_, number, endpoint_, create_cancel_request(stop.id, endpoint_),
                               endpoint_call_options{.idle_timeout = cancel_timeout}, null_sink_instance(),
                               [this](call_id ended) { retire(ended); }));
}

void endpoint_client::report_unsupported_resumes()
{
    for (const auto call : std::exchange(unsupported_resumes_, {})) {
        sink_.on_end({call, call_outcome::broken});
    }
}

void endpoint_client::retire(call_id call)
{
    const auto it = calls_.find(call);
    assert(it != calls_.end());
    retired_.push_back(std::move(it->second));
    calls_.erase(it);
    clean_up_.activate();
}

} // namespace hemlocknotch::daemon
