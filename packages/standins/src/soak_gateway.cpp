#include <hemlocknotch/standins/soak_gateway.hpp>

#include <nlohmann/json.hpp>

#include <cassert>
#include <csignal>
#include <fstream>
#include <stdexcept>

namespace hemlocknotch::standins {
namespace {

constexpr int metrics_port = 7400;
constexpr int members_port = 7401;
constexpr int callers_port = 7402;
constexpr int readiness_port = 7403;
constexpr int registry_port = 7404;
constexpr int stop_grace_s = 8;

/// Returns the words that run `command` with the descriptors of `limits`, in the same process.
std::vector<std::string> with_limits(std::vector<std::string> command, const soak_gateway_limits& limits)
{
    std::string script;
    if (limits.soft_descriptors > 0) {
        script += "ulimit -S -n " + std::to_string(limits.soft_descriptors) + " && ";
    }
    if (limits.hard_descriptors > 0) {
        script += "ulimit -H -n " + std::to_string(limits.hard_descriptors) + " && ";
    }
    if (!script.empty()) {
        command.insert(command.begin(), {"/bin/sh", "-c", script + "exec \"$0\" \"$@\""});
    }
    return command;
}

std::string address_of(const std::string& host, int port)
{
    return host + ":" + std::to_string(port);
}

} // namespace

soak_gateway::soak_gateway(event_base* base, const soak_paths& paths, int number, const std::string& host,
                           const std::vector<std::string>& seeds, const endpoint_address& store,
                           const soak_gateway_limits& limits)
    : paths_{paths},
      limits_{limits},
      name_{"g" + std::to_string(number)},
      host_{host},
      settings_path_{paths.directory + "/" + name_ + ".json"},
      log_path_{paths.directory + "/" + name_ + ".log"},
      store_link_{base, store},
      caller_link_{base, callers()}
{
    std::ofstream file{settings_path_};
    file << nlohmann::json{{"instance", name_},
                           {"failure_domain", "d1"},
                           {"listen",
                            {{"callers", address_of(host, callers_port)},
                             {"readiness", address_of(host, readiness_port)},
                             {"registry", address_of(host, registry_port)},
                             {"members", address_of(host, members_port)},
                             {"metrics", address_of(host, metrics_port)}}},
                           {"store", store_link_.address().to_string()},
                           {"seeds", seeds},
                           {"limits",
                            {{"stop_grace_s", stop_grace_s},
                             {"descriptors", limits.descriptors},
                             {"memory_mb", limits.memory_mb}}}}
                .dump(2);
    if (!file.flush()) {
        throw std::runtime_error{settings_path_ + " cannot be written"};
    }
}

void soak_gateway::start()
{
    assert(!is_running());
    is_stopping_ = false;
    is_paused_ = false;
    disturbed_at_ = now();
    process_ = std::make_unique<child_process>(
        with_limits({paths_.program, "gateway", "--settings", settings_path_}, limits_), log_path_);
}

void soak_gateway::disturb(int signal)
{
    disturbed_at_ = now();
    process_->send_signal(signal);
}

void soak_gateway::stop()
{
    is_stopping_ = true;
    disturb(SIGTERM);
}

void soak_gateway::kill()
{
    is_stopping_ = false;
    is_paused_ = false;
    disturb(SIGKILL);
    killed_at_ = disturbed_at_;
}

void soak_gateway::pause()
{
    is_paused_ = true;
    disturb(SIGSTOP);
}

void soak_gateway::resume()
{
    is_paused_ = false;
    disturb(SIGCONT);
}

void soak_gateway::reload()
{
    process_->send_signal(SIGHUP);
}

bool soak_gateway::is_undisturbed_since(instant since)
{
    return is_running() && !is_paused_ && !is_stopping_ && disturbed_at_ < since;
}

endpoint_address soak_gateway::callers() const
{
    return *endpoint_address::parse(address_of(host_, callers_port));
}

endpoint_address soak_gateway::readiness() const
{
    return *endpoint_address::parse(address_of(host_, readiness_port));
}

std::string soak_gateway::registry_page_at(const std::string& host)
{
    return address_of(host, registry_port);
}

} // namespace hemlocknotch::standins
