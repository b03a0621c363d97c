#include "entry_shell.hpp"

#include <hemlocknotch/core/entry_state.hpp>

#include "listening_line.hpp"
#include "status_document.hpp"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace hemlocknotch::daemon {
namespace {

settings with_incarnation(settings values, std::uint64_t incarnation)
{
    values.entry.identity.incarnation = incarnation;
    return values;
}

caller_http_server_options caller_server_options(const settings& values)
{
    caller_http_server_options out;
    out.incarnation = values.entry.identity.incarnation;
    out.max_header_bytes = values.max_header_bytes;
    out.max_body_bytes = values.max_body_bytes;
    out.progress_step_bytes = acknowledgement_step_bytes(values.entry);
    out.idle_limit = values.caller_idle_limit;
    return out;
}

} // namespace

entry_shell::entry_shell(const settings& values)
    : settings_{with_incarnation(values, entropy_source{}.next())},
      runtime_{settings_, *this},
      reducer_{settings_.entry},
      factory_{create_websocket_link_factory(runtime_.base())},
      links_{runtime_.base(), *factory_, runtime_.process_metrics(), *this},
      claims_{
          runtime_.base(), runtime_.store(),
          claim_options{.max_attempts = settings_.claim_tries, .retry_delay = settings_.claim_retry_delay},
          [this](const claim_result_event& result) { pump_.post(result); }},
      caller_server_{runtime_.base(), caller_server_options(settings_), *this},
      operator_server_{runtime_.base(), *this},
      pump_{reducer_, runtime_.clock(), runtime_.entropy(),
            [this](entry_effect& effect) { std::visit([this](auto& it) { execute(it); }, effect); }}
{
}

entry_shell::~entry_shell() = default;

boost::leaf::result<std::string> entry_shell::start()
{
    if (auto started = runtime_.start(); !started) {
        return started.error();
    }
    BOOST_LEAF_AUTO(callers, caller_server_.listen(*settings_.callers_address));
    BOOST_LEAF_AUTO(operators, operator_server_.listen(*settings_.operators_address));
    pump_.post(tick_event{});
    return listening_line("callers", callers, operators);
}

void entry_shell::on_request(caller_request_event request)
{
    pump_.post(std::move(request));
}

void entry_shell::on_disconnected(const caller_disconnected_event& disconnected)
{
    pump_.post(disconnected);
}

void entry_shell::on_progress(const caller_progress_event& progress)
{
    pump_.post(progress);
}

void entry_shell::on_refused_by_server(refusal_code code)
{
    runtime_.process_metrics().add("hemlocknotch_refused_by_front_total", "code", to_string(code), 1);
}

void entry_shell::on_link_open(link_id link)
{
    pump_.post(link_opened_event{link, links_.address_of(link)});
}

void entry_shell::on_link_message(link_id link, const message& content)
{
    pump_.post(link_message_event{link, content});
}

void entry_shell::on_link_closed(link_id link, const std::string& reason)
{
    pump_.post(link_closed_event{link, reason});
}

void entry_shell::on_members(members_event members)
{
    pump_.post(std::move(members));
}

void entry_shell::on_configuration(configuration_event accepted)
{
    pump_.post(std::move(accepted));
}

void entry_shell::on_store_contact(store_contact_event contact)
{
    pump_.post(contact);
}

void entry_shell::on_tick()
{
    pump_.post(tick_event{});
}

void entry_shell::on_stop(stop_event stop)
{
    caller_server_.drain();
    pump_.post(stop);
}

bool entry_shell::has_unsent_bytes()
{
    return caller_server_.has_unsent_bytes() || links_.has_unsent_bytes();
}

std::string entry_shell::unready_reason()
{
    if (runtime_.is_ready()) {
        return {};
    }
    const auto status = reducer_.state().status();
    if (status.is_draining) {
        return "draining: work that was accepted is finished, nothing new is taken";
    }
    if (status.revision == 0) {
        return "no configuration yet: neither the key-value service nor a peer has given one";
    }
    return "no new work is taken: out of service, or out of reach of the key-value service and of other "
           "failure domains";
}

std::string entry_shell::metrics_page()
{
    links_.update_metrics();
    auto& process_metrics = runtime_.process_metrics();
    process_metrics.set("hemlocknotch_callers_connected",
                        static_cast<double>(caller_server_.exchange_count()));
    process_metrics.set("hemlocknotch_configuration_revision",
                        static_cast<double>(reducer_.state().status().revision));
    process_metrics.set_total("hemlocknotch_events_total", static_cast<double>(pump_.event_count()));
    process_metrics.set_total("hemlocknotch_effects_total", static_cast<double>(pump_.effect_count()));
    return runtime_.metrics_text();
}

std::string entry_shell::status_page()
{
    const auto status = reducer_.state().status();
    status_document out;
    out.name = settings_.name;
    out.role = process_role::entry;
    out.failure_domain = settings_.failure_domain;
    out.incarnation = settings_.entry.identity.incarnation;
    out.revision = status.revision;
    out.is_ready = runtime_.is_ready();
    out.is_draining = status.is_draining;
    out.links = status.links;
    out.waiting = status.waiting;
    out.outstanding = status.outstanding;
    for (const auto& it : status.counters) {
        out.counters.push_back({it.service, it.client_account, it.counter});
    }
    return write_status(out, runtime_.newest_configuration().get());
}

template <class Effect>
void entry_shell::execute(Effect& effect)
{
    runtime_.execute(effect);
}

void entry_shell::execute(send_effect& effect)
{
    links_.send(effect.link, effect.content);
}

void entry_shell::execute(open_link_effect& effect)
{
    links_.open(effect.link, effect.address);
}

void entry_shell::execute(close_link_effect& effect)
{
    links_.close(effect.link, effect.reason);
}

void entry_shell::execute(reply_head_effect& effect)
{
    caller_server_.start_reply(effect);
}

void entry_shell::execute(reply_part_effect& effect)
{
    caller_server_.send_part(effect);
}

void entry_shell::execute(reply_end_effect& effect)
{
    caller_server_.end_reply(effect.exchange);
}

void entry_shell::execute(reply_abort_effect& effect)
{
    caller_server_.abort_reply(effect.exchange);
}

void entry_shell::execute(reply_refusal_effect& effect)
{
    caller_server_.refuse(effect);
}

void entry_shell::execute(claim_key_effect& effect)
{
    claims_.claim(effect);
}

void entry_shell::execute(settle_claim_effect& effect)
{
    claims_.settle(effect);
}

} // namespace hemlocknotch::daemon
