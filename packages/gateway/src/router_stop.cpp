#include <hemlocknotch/gateway/router.hpp>

#include "caller_answers.hpp"
#include "exchange.hpp"
#include "exchange_table.hpp"
#include "retry_after.hpp"
#include "unserved_end.hpp"

namespace hemlocknotch::gateway {
namespace {

constexpr int status_unavailable = 503;

} // namespace

void router::begin_stop(instant ends_at, instant now)
{
    stops_at_ = ends_at;
    for (const auto id : exchanges_->find_all([](const exchange& it) { return it.is_waiting; })) {
        refuse_before_stop(*exchanges_->find(id), now);
    }
    offer_waiting(now);
}

bool router::refuse_before_stop(exchange& it, instant now)
{
    if (it.ends_at <= stops_at_ || it.executions > 0 || it.is_begun) {
        return false;
    }
    refuse(it, status_unavailable, gateway_stopped.refused_reason, min_retry_after, now);
    return true;
}

void router::end_all(instant now)
{
    for (const auto id : exchanges_->find_all([](const exchange& /*it*/) { return true; })) {
        auto& it = *exchanges_->find(id);
        auto may_have_run = it.executions > 0;
        if (it.call != 0 && port_.recall_call(it.call)) {
            finish_unsent_call(it, now);
        }
        else if (it.call != 0) {
            may_have_run = true;
            port_.cancel_call(it.call);
            finish_call(it, now);
        }
        end_unserved(it, gateway_stopped, may_have_run, now);
    }
}

} // namespace hemlocknotch::gateway
