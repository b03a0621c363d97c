#pragma once

namespace hemlocknotch::daemon {

/// What a process has used of the machine.
struct process_usage {
    /// Processor time, user and system.
    double cpu_seconds = 0.0;
    double resident_bytes = 0.0;
};

/// Returns the usage of this process as the system tells it; zero where it does not. Safe to call from any
/// thread.
process_usage read_process_usage();

} // namespace hemlocknotch::daemon
