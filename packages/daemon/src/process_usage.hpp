#pragma once

namespace hemlocknotch::daemon {

/// Resource usage of a process.
struct process_usage {
    /// Processor time, user and system.
    double cpu_seconds = 0.0;
    double resident_bytes = 0.0;
    double open_descriptors = 0.0;
    /// Descriptors that it may open.
    double max_descriptors = 0.0;
};

/// Returns the resource usage of this process; zero where the operating system does not report it. Safe to
/// call from any thread.
process_usage read_process_usage();

} // namespace hemlocknotch::daemon
