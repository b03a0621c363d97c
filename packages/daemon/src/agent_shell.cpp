#include "agent_shell.hpp"

#include <hemlocknotch/core/agent_state.hpp>

#include "agent_policies.hpp"
#include "listening_line.hpp"
#include "start_error.hpp"
#include "status_document.hpp"

#include <boost/leaf/error.hpp>

#include <utility>
#include <variant>

namespace hemlocknotch::daemon {
namespace {

settings with_incarnation(settings values, std::uint64_t incarnation)
{
    values.agent.identity.incarnation = incarnation;
    return values;
}

endpoint_kind kind_of_endpoint(const settings& values)
{
    return values.endpoint_kind_name == "plain" ? endpoint_kind::plain : endpoint_kind::engine;
}

duration cache_interval_of(const settings& values)
{
    return kind_of_endpoint(values) == endpoint_kind::engine ? values.cache_events_interval
                                                             : duration::zero();
}

} // namespace

agent_shell::agent_shell(const settings& values)
    : settings_{with_incarnation(values, entropy_source{}.next())},
      runtime_{settings_, *this},
      reducer_{settings_.agent, create_fair_order(settings_), create_concurrency_limit(settings_)},
      factory_{create_websocket_link_factory(runtime_.base())},
      links_{runtime_.base(), *factory_, runtime_.process_metrics(), *this},
      endpoint_{runtime_.base(), *settings_.endpoint, kind_of_endpoint(settings_), *this},
      probe_{runtime_.base(), *settings_.endpoint, cache_interval_of(settings_), *this},
      operator_server_{runtime_.base(), *this},
      pump_{reducer_, runtime_.clock(), runtime_.entropy(),
            [this](agent_effect& effect) { std::visit([this](auto& it) { execute(it); }, effect); }}
{
}

agent_shell::~agent_shell() = default;

boost::leaf::result<std::string> agent_shell::start()
{
    if (auto started = runtime_.start(); !started) {
        return started.error();
    }
    listener_ = factory_->listen(*settings_.links_address);
    if (!listener_) {
        return boost::leaf::new_error(start_error{
            "cannot listen on " + settings_.links_address->to_string() + " for links",
            "Choose an address of this machine and a free port in links_address, or port 0 to let "
            "the system choose."});
    }
    listener_->accepted.connect(
        [this](const std::shared_ptr<peer_link>& accepted) { links_.adopt(accepted); });
    BOOST_LEAF_AUTO(operators, operator_server_.listen(*settings_.operators_address));
    pump_.post(tick_event{});
    return listening_line("links", listener_->address(), operators);
}

void agent_shell::on_head(endpoint_head_event head)
{
    pump_.post(std::move(head));
}

void agent_shell::on_part(endpoint_part_event part)
{
    pump_.post(std::move(part));
}

void agent_shell::on_end(const endpoint_end_event& end)
{
    pump_.post(end);
}

void agent_shell::on_health(const endpoint_health_event& health)
{
    pump_.post(health);
}

void agent_shell::on_cache(endpoint_cache_event cache)
{
    pump_.post(std::move(cache));
}

void agent_shell::on_link_open(link_id link)
{
    pump_.post(link_accepted_event{link});
}

void agent_shell::on_link_message(link_id link, const message& content)
{
    pump_.post(link_message_event{link, content});
}

void agent_shell::on_link_closed(link_id link, const std::string& reason)
{
    pump_.post(link_closed_event{link, reason});
}

void agent_shell::on_members(members_event members)
{
    pump_.post(std::move(members));
}

void agent_shell::on_configuration(configuration_event accepted)
{
    pump_.post(std::move(accepted));
}

void agent_shell::on_store_contact(store_contact_event contact)
{
    pump_.post(contact);
}

void agent_shell::on_tick()
{
    pump_.post(tick_event{});
}

void agent_shell::on_stop(stop_event stop)
{
    pump_.post(stop);
}

bool agent_shell::has_unsent_bytes()
{
    return links_.has_unsent_bytes();
}

std::string agent_shell::unready_reason()
{
    if (runtime_.is_ready()) {
        return {};
    }
    const auto& state = reducer_.state();
    if (state.is_draining()) {
        return "draining: work that was accepted is finished, nothing new is taken";
    }
    if (state.revision() == 0) {
        return "no configuration yet: neither the key-value service nor a peer has given one";
    }
    return "no new work is taken: out of service, endpoint not reached, or out of reach of the key-value "
           "service and of other failure domains";
}

std::string agent_shell::metrics_page()
{
    links_.update_metrics();
    auto& process_metrics = runtime_.process_metrics();
    const auto& state = reducer_.state();
    process_metrics.set("hemlocknotch_configuration_revision", static_cast<double>(state.revision()));
    process_metrics.set("hemlocknotch_running_requests", static_cast<double>(state.running()));
    process_metrics.set("hemlocknotch_concurrency_limit_requests", static_cast<double>(state.limit()));
    process_metrics.set("hemlocknotch_room_requests", static_cast<double>(state.free_slots()));
    process_metrics.set_total("hemlocknotch_events_total", static_cast<double>(pump_.event_count()));
    process_metrics.set_total("hemlocknotch_effects_total", static_cast<double>(pump_.effect_count()));
    return runtime_.metrics_text();
}

std::string agent_shell::status_page()
{
    const auto& state = reducer_.state();
    status_document out;
    out.name = settings_.name;
    out.role = process_role::agent;
    out.failure_domain = settings_.failure_domain;
    out.incarnation = settings_.agent.identity.incarnation;
    out.revision = state.revision();
    out.is_ready = runtime_.is_ready();
    out.is_draining = state.is_draining();
    out.links = state.links();
    out.service = settings_.agent.service;
    out.running = state.running();
    out.limit = state.limit();
    out.free_slots = state.free_slots();
    for (const auto& it : state.counters()) {
        out.counters.push_back({account_key::of(settings_.agent.service), it.client_account, it.counter});
    }
    return write_status(out, runtime_.newest_configuration().get());
}

template <class Effect>
void agent_shell::execute(Effect& effect)
{
    runtime_.execute(effect);
}

void agent_shell::execute(send_effect& effect)
{
    links_.send(effect.link, effect.content);
}

void agent_shell::execute(close_link_effect& effect)
{
    links_.close(effect.link, effect.reason);
}

void agent_shell::execute(start_call_effect& effect)
{
    effect.traceparent = outgoing_traceparent(effect.id, effect.traceparent);
    endpoint_.start(effect);
}

void agent_shell::execute(stop_call_effect& effect)
{
    endpoint_.stop(effect);
}

void agent_shell::execute(probe_endpoint_effect& /*effect*/)
{
    probe_.request_health();
}

} // namespace hemlocknotch::daemon
