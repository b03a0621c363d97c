#include "process_runtime.hpp"

#include <hemlocknotch/coordination/configuration_document.hpp>
#include <hemlocknotch/coordination/http_platform.hpp>

#include "jitter.hpp"
#include "process_usage.hpp"
#include "start_error.hpp"

#include <boost/leaf/error.hpp>

#include <array>
#include <cassert>
#include <chrono>
#include <csignal>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

/// Time between two checks before the exit whether all bytes have been sent.
constexpr duration exit_poll_interval = std::chrono::milliseconds{10};
/// Time for which a stopped process keeps answering late callers that it is shutting down.
constexpr duration exit_delay = std::chrono::milliseconds{200};
/// Maximum number of errors of a configuration document in one log line.
constexpr std::size_t max_logged_errors = 3;

double seconds_of(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Creates an event loop that applies changes of the set of descriptors together before each wait, so that a
/// change that is undone at once costs no system call. This requires that no descriptor is duplicated, and
/// none is.
event_base_ptr create_event_base()
{
    const std::unique_ptr<event_config, event_config_deleter> config{event_config_new()};
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    event_base_ptr base{event_base_new_with_config(config.get())};
    assert(base);
    return base;
}

} // namespace

/// Handler of one signal in the event loop.
struct process_runtime::signal_handler {
    signal_handler(process_runtime& owner_now, int number_now)
        : owner{owner_now},
          number{number_now},
          handle{evsignal_new(
              owner_now.base(), number_now,
              [](evutil_socket_t /*fd*/, short /*what*/, void* arg) {
                  const auto& self = *static_cast<signal_handler*>(arg);
                  self.owner.on_signal(self.number);
              },
              this)}
    {
        event_add(handle.get(), nullptr);
    }

    process_runtime& owner;
    int number;
    event_ptr handle;
};

process_runtime::process_runtime(const settings& values, runtime_sink& sink)
    : settings_{values},
      sink_{sink},
      base_{create_event_base()},
      log_{*parse_log_level(values.log_level),
           values.log_format == "text" ? log_format::text : log_format::json, values.name},
      spans_{std::make_unique<span_recorder>()},
      store_{create_http_key_value_service(base_.get(), *values.key_value_service, values.store_call_limit)},
      instances_{create_http_instance_list(base_.get(), *values.instance_list, values.store_call_limit)},
      watcher_{base_.get(), *store_, configuration_watcher_options{.watch_timeout = values.store_watch_limit},
               entropy_, *this},
      started_{clock_.now()},
      tick_{base_.get(), [this] { sink_.on_tick(); }},
      members_{base_.get(), [this] { poll_members(); }},
      exit_{base_.get(), [this] { exit_when_sent(); }}
{
}

process_runtime::~process_runtime() = default;

boost::leaf::result<void> process_runtime::start()
{
    spans_ = span_recorder::open(settings_.trace_output, settings_.name);
    if (!spans_) {
        return boost::leaf::new_error(start_error{
            "trace_output: cannot write to " + settings_.trace_output,
            "Name a file in a directory that this process may write to, `stderr`, or leave it empty."});
    }
    std::signal(SIGPIPE, SIG_IGN);
    for (const auto number : {SIGTERM, SIGINT, SIGHUP}) {
        signals_.push_back(std::make_unique<signal_handler>(*this, number));
    }
    poll_members();
    return {};
}

void process_runtime::run()
{
    event_base_dispatch(base_.get());
}

std::string process_runtime::metrics_text()
{
    const auto usage = read_process_usage();
    metrics_.set_total("hemlocknotch_process_cpu_seconds_total", usage.cpu_seconds);
    metrics_.set("hemlocknotch_process_resident_bytes", usage.resident_bytes);
    metrics_.set_total("hemlocknotch_store_calls_total", static_cast<double>(store_->call_count()));
    metrics_.set("hemlocknotch_uptime_seconds", seconds_of(clock_.now() - started_));
    metrics_.set("hemlocknotch_is_ready", is_ready_ ? 1.0 : 0.0);
    return metrics_.text();
}

void process_runtime::execute(const read_configuration_effect& effect)
{
    read_document(effect.revision, effect.document);
}

void process_runtime::execute(const watch_store_effect& effect)
{
    watcher_.set_enabled(effect.is_wanted);
}

void process_runtime::execute(const schedule_tick_effect& effect)
{
    tick_.start(effect.at - clock_.now());
}

void process_runtime::execute(const readiness_effect& effect)
{
    is_ready_ = effect.is_ready;
}

void process_runtime::execute(const stopped_effect& /*effect*/)
{
    stopped_ = clock_.now();
    exit_.start(exit_delay);
}

void process_runtime::execute(const log_effect& effect)
{
    log_.write(effect);
}

void process_runtime::execute(const metric_effect& effect)
{
    metrics_.record(effect);
}

void process_runtime::execute(const span_effect& effect)
{
    spans_->record(effect, clock_);
}

void process_runtime::on_store_contact(bool is_reached)
{
    sink_.on_store_contact({is_reached});
}

void process_runtime::on_envelope(const configuration_envelope& envelope)
{
    read_document(envelope.revision, envelope.document);
}

void process_runtime::on_unreadable_envelope()
{
    metrics_.add("hemlocknotch_configuration_errors_total", 1);
    log_.write({log_level::error,
                "configuration-unreadable",
                {{"key", std::string{configuration_key}},
                 {"remedy", "apply a configuration with hemlocknotchctl"}}});
}

void process_runtime::read_document(std::uint64_t revision, const std::string& document)
{
    if (newest_ && newest_->revision >= revision) {
        sink_.on_configuration({newest_});
        return;
    }
    auto reading = read_configuration(document, revision);
    if (reading.accepted) {
        newest_ = reading.accepted;
        sink_.on_configuration({reading.accepted});
        return;
    }
    metrics_.add("hemlocknotch_configuration_errors_total", 1);
    log_effect record{log_level::error, "configuration-refused", {{"revision", std::to_string(revision)}}};
    for (std::size_t n = 0; n < reading.errors.size() && n < max_logged_errors; ++n) {
        record.fields.push_back({"error_" + std::to_string(n + 1), to_string(reading.errors[n])});
    }
    log_.write(record);
}

void process_runtime::poll_members()
{
    members_.start(with_jitter(settings_.instance_list_interval, entropy_.next()));
    instances_->fetch([this](const auto& members) {
        const auto was_reachable = std::exchange(is_instance_list_reachable_, members.has_value());
        if (members) {
            sink_.on_members({*members});
            return;
        }
        if (!was_reachable) {
            return;
        }
        log_.write({log_level::warning,
                    "instance-list-unreachable",
                    {{"address", settings_.instance_list->to_string()}}});
    });
}

void process_runtime::on_signal(int number)
{
    if (number == SIGHUP) {
        const auto level = reload_ ? reload_() : std::nullopt;
        if (level) {
            log_.set_level(*parse_log_level(*level));
        }
        log_.write({log_level::info,
                    level ? "settings-read-again" : "settings-not-read-again",
                    {{"log_level", level.value_or("unchanged")}}});
        return;
    }
    const auto is_immediate = std::exchange(is_stopping_, true);
    log_.write({log_level::info, "stop-asked", {{"is_immediate", is_immediate ? "true" : "false"}}});
    sink_.on_stop({is_immediate});
}

void process_runtime::exit_when_sent()
{
    const auto limit = settings_.entry.stop_limit;
    if (sink_.has_unsent_bytes() && clock_.now() - stopped_ < limit) {
        exit_.start(exit_poll_interval);
        return;
    }
    log_.write({log_level::info, "stopped", {}});
    event_base_loopbreak(base_.get());
}

} // namespace hemlocknotch::daemon
