#include "endpoint_client.hpp"

#include "endpoint_request.hpp"

#include <cassert>
#include <limits>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

constexpr duration cancel_limit = std::chrono::seconds{5};

/// Sink of cancellations, whose answers change nothing.
class ignoring_sink final : public endpoint_sink {
public:
    void on_head(endpoint_head_event /*head*/) override {}

    void on_part(endpoint_part_event /*part*/) override {}

    void on_end(const endpoint_end_event& /*end*/) override {}

    void on_health(const endpoint_health_event& /*health*/) override {}

    void on_cache(endpoint_cache_event /*cache*/) override {}
};

ignoring_sink& cancel_sink()
{
    static ignoring_sink sink;
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
      report_impossible_{base, [this] { report_impossible(); }}
{
}

void endpoint_client::start(const start_call_effect& call)
{
    assert(!calls_.contains(call.call));
    const auto is_resume = call.offset > 0;
    if (is_resume && kind_ == endpoint_kind::plain) {
        // A plain service has no streams; asking it would execute another request.
        impossible_.push_back(call.call);
        report_impossible_.activate();
        return;
    }
    const auto request = is_resume ? request_of_resume(call, endpoint_) : request_of_call(call, endpoint_);
    auto done = [this](call_id number) { retire(number); };
    calls_.emplace(call.call, std::make_unique<endpoint_call>(base_, call.call, endpoint_, request,
                                                              endpoint_call_options{.is_resume = is_resume},
                                                              sink_, std::move(done)));
}

void endpoint_client::stop(const stop_call_effect& stop)
{
    std::erase(impossible_, stop.call);
    if (const auto it = calls_.find(stop.call); it != calls_.end()) {
        it->second->silence();
        retire(stop.call);
    }
    if (!stop.is_cancel || kind_ != endpoint_kind::engine) {
        return;
    }
    const auto number = next_cancel_--;
    calls_.emplace(number, std::make_unique<endpoint_call>(
                               base_, number, endpoint_, request_of_cancel(stop.id, endpoint_),
                               endpoint_call_options{.silence_limit = cancel_limit}, cancel_sink(),
                               [this](call_id ended) { retire(ended); }));
}

void endpoint_client::report_impossible()
{
    for (const auto call : std::exchange(impossible_, {})) {
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
