#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

namespace hemlocknotch::standins {

/// One process that this one has started. Ended by force where the object is destroyed first. One thread.
class child_process {
public:
    /// Starts `command`, whose first word is a path, with its standard output and error appended to
    /// `log_path`. Throws std::runtime_error where that fails. Precondition: `command` is not empty.
    child_process(const std::vector<std::string>& command, const std::string& log_path);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;
    ~child_process();

    /// Sends a signal. Ignored once the process has ended.
    void send_signal(int number);

    /// Returns whether the process has not ended, and collects its exit code if it has.
    bool is_running();

    /// Return the most memory that it has had resident, in bytes, and the number of its open descriptors, as
    /// the kernel counts them; 0 where the process has ended.
    [[nodiscard]] std::size_t peak_resident_bytes() const;
    [[nodiscard]] std::size_t descriptor_count() const;

    /// Returns the exit code; -1 where a signal ended the process. Precondition: it has ended.
    [[nodiscard]] int exit_code() const { return exit_code_; }

private:
    pid_t pid_ = -1;
    int exit_code_ = -1;
};

} // namespace hemlocknotch::standins
