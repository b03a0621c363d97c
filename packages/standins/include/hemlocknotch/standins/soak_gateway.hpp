#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/standins/child_process.hpp>
#include <hemlocknotch/standins/event_loop.hpp>
#include <hemlocknotch/standins/relay_route.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace hemlocknotch::standins {

/// Where the files and programs of a soak are.
struct soak_paths {
    /// The program `hemlocknotchd`.
    std::string program;
    /// Directory for settings files and logs.
    std::string directory;
};

/// Limits in the settings of a gateway.
struct soak_gateway_limits {
    std::size_t descriptors = 4096;
    /// Memory of its instance, in millions of bytes.
    std::size_t memory_mb = 110;
    /// Descriptors that the system lets the process open at its start, and those to which the process may
    /// raise that; 0: as for this process.
    std::size_t soft_descriptors = 0;
    std::size_t hard_descriptors = 0;
};

/// A gateway as a process of its own, with a relay between it and the store. One thread.
class soak_gateway {
public:
    /// Writes the settings file. Gateway `number` listens on the loopback address `host`; `seeds` are the
    /// addresses of registry pages. Throws std::runtime_error where a file cannot be written.
    soak_gateway(event_base* base, const soak_paths& paths, int number, const std::string& host,
                 const std::vector<std::string>& seeds, const endpoint_address& store,
                 const soak_gateway_limits& limits = {});

    /// Starts the process. Precondition: it is not running.
    void start();

    /// Stops in an orderly way: the process finishes what it has read.
    void stop();
    void kill();
    void pause();
    void resume();
    void reload();

    /// Returns whether the process runs; false also where it ended by itself.
    bool is_running() { return process_ && process_->is_running(); }

    [[nodiscard]] bool is_stopping() const { return is_stopping_; }

    [[nodiscard]] bool is_paused() const { return is_paused_; }

    /// Returns whether the process has run without a signal or start since `since`.
    bool is_undisturbed_since(instant since);

    [[nodiscard]] int exit_code() const { return process_->exit_code(); }

    [[nodiscard]] relay_route& store_link() { return store_link_; }

    /// Returns the relay by which some of its callers reach it.
    [[nodiscard]] relay_route& caller_link() { return caller_link_; }

    /// Returns whether the process was not killed since `since`.
    [[nodiscard]] bool is_not_killed_since(instant since) const { return killed_at_ < since; }

    [[nodiscard]] const std::string& name() const { return name_; }

    [[nodiscard]] const std::string& log_path() const { return log_path_; }

    [[nodiscard]] endpoint_address callers() const;

    [[nodiscard]] endpoint_address readiness() const;

    /// Returns the process. Precondition: it was started.
    [[nodiscard]] const child_process& process() const { return *process_; }

    /// Returns the address of the registry page of a gateway at `host`.
    static std::string registry_page_at(const std::string& host);

private:
    void disturb(int signal);

    soak_paths paths_;
    soak_gateway_limits limits_;
    std::string name_;
    std::string host_;
    std::string settings_path_;
    std::string log_path_;
    relay_route store_link_;
    relay_route caller_link_;
    std::unique_ptr<child_process> process_;
    bool is_stopping_ = false;
    bool is_paused_ = false;
    instant disturbed_at_{};
    instant killed_at_{};
};

} // namespace hemlocknotch::standins
