#include "process_usage.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace hemlocknotch::daemon {
namespace {

double seconds_of(const timeval& value)
{
    constexpr double microseconds_per_second = 1e6;
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_usec) / microseconds_per_second;
}

} // namespace

process_usage read_process_usage()
{
    process_usage out;
    rusage used{};
    if (getrusage(RUSAGE_SELF, &used) == 0) {
        out.cpu_seconds = seconds_of(used.ru_utime) + seconds_of(used.ru_stime);
    }
    // The second number of this file is the resident set in pages.
    std::ifstream file{"/proc/self/statm"};
    double total = 0.0;
    double resident = 0.0;
    if (file >> total >> resident) {
        out.resident_bytes = resident * static_cast<double>(sysconf(_SC_PAGESIZE));
    }
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        out.max_descriptors = static_cast<double>(limit.rlim_cur);
    }
    std::error_code ec;
    const std::filesystem::directory_iterator descriptors{"/proc/self/fd", ec};
    if (!ec) {
        // Without that of the iterator.
        out.open_descriptors = static_cast<double>(std::distance(begin(descriptors), end(descriptors)) - 1);
    }
    return out;
}

} // namespace hemlocknotch::daemon
