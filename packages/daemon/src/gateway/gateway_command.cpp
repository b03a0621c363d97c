#include "gateway_command.hpp"

#include <hemlocknotch/platform/header_dialect.hpp>
#include <hemlocknotch/platform/store_client.hpp>

#include "../event_priority.hpp"
#include "../start_error.hpp"
#include "crash_log.hpp"
#include "descriptor_limit.hpp"
#include "gateway_settings.hpp"
#include "gateway_shell.hpp"
#include "gateway_starter.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <event2/event.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>

namespace hemlocknotch::daemon {
namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
/// Time beyond the stop grace for which a start waits for an address.
constexpr duration start_limit = std::chrono::seconds{30};

std::optional<gateway_settings> load(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        std::cerr << path << ": cannot be read. Name a file that exists and that this user may read.\n";
        return std::nullopt;
    }
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    auto reading = parse_gateway_settings(text);
    for (const auto& it : reading.errors) {
        std::cerr << path << ": " << it << "\n";
    }
    return std::move(reading.accepted);
}

/// Calls `callback` on each signal `number` during its lifetime.
class signal_watch {
public:
    signal_watch(event_base* base, int number, std::function<void()> callback)
        : callback_{std::move(callback)}, event_{evsignal_new(base, number, handle, &callback_)}
    {
        event_add(event_.get(), nullptr);
    }

private:
    static void handle(evutil_socket_t /*number*/, short /*what*/, void* callback)
    {
        (*static_cast<std::function<void()>*>(callback))();
    }

    std::function<void()> callback_;
    event_ptr event_;
};

boost::leaf::result<int> run(const gateway_settings& settings, const std::string& path)
{
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    const auto base = create_prioritized_loop();
    const platform::header_dialect dialect;
    platform::store_client store{base.get(), *settings.store};
    gateway_shell shell{base.get(), settings, dialect, store, store};
    // The process before this one may have its addresses until its grace is over.
    gateway_starter starter{base.get(), shell, settings.stop_grace + start_limit};
    const signal_watch stop{base.get(), SIGTERM, [&] { starter.stop(); }};
    const signal_watch interrupt{base.get(), SIGINT, [&] { starter.stop(); }};
    const signal_watch reload{base.get(), SIGHUP, [&] {
                                  if (load(path)) {
                                      shell.reload();
                                  }
                              }};
    event_base_dispatch(base.get());
    if (starter.error()) {
        return boost::leaf::new_error(*starter.error());
    }
    return exit_ok;
}

} // namespace

int run_gateway(const std::string& path, bool is_check_only)
{
    auto settings = load(path);
    if (!settings) {
        return exit_usage;
    }
    if (is_check_only) {
        std::cout << path << ": the settings are good.\n";
        return exit_ok;
    }
    install_crash_log(settings->instance);
    const auto stated_descriptors = settings->descriptors;
    settings->descriptors = std::min(stated_descriptors, raise_descriptor_limit(stated_descriptors));
    const auto code = boost::leaf::try_handle_all(
        [&] { return run(*settings, path); },
        [](const start_error& error) {
            std::cerr << "hemlocknotchd: " << error.what << ". " << error.remedy << "\n";
            return exit_failed;
        },
        [] {
            std::cerr << "hemlocknotchd: could not start for an unknown reason.\n";
            return exit_failed;
        });
    std::cout.flush();
    // Static destructors would wait for the worker threads of the log library, which a gateway does not use.
    std::quick_exit(code);
}

} // namespace hemlocknotch::daemon
