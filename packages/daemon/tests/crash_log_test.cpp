#include "gateway/crash_log.hpp"

#include <boost/test/unit_test.hpp>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <functional>
#include <stdexcept>
#include <string>

namespace hemlocknotch::daemon {
namespace {

struct process_end {
    std::string log;
    int signal = 0;
};

/// Runs `action` in a process of its own with a crash log, and returns how it ended.
process_end run_process(const std::function<void()>& action)
{
    std::array<int, 2> ends{};
    BOOST_REQUIRE(::pipe(ends.data()) == 0);
    const auto pid = ::fork();
    BOOST_REQUIRE(pid >= 0);
    if (pid == 0) {
        const rlimit no_core{0, 0};
        setrlimit(RLIMIT_CORE, &no_core);
        ::dup2(ends[1], STDOUT_FILENO);
        install_crash_log("g1");
        [&]() noexcept { action(); }();
        ::_exit(0);
    }
    ::close(ends[1]);
    process_end out;
    std::array<char, 1024> buf{};
    for (ssize_t n = 0; (n = ::read(ends[0], buf.data(), buf.size())) > 0;) {
        out.log.append(buf.data(), static_cast<std::size_t>(n));
    }
    ::close(ends[0]);
    int status = 0;
    BOOST_REQUIRE(::waitpid(pid, &status, 0) == pid);
    out.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return out;
}

/// Recurses until the stack overflows.
int overflow_stack(int depth) // NOLINT(misc-no-recursion)
{
    std::array<volatile char, 4096> frame{};
    frame.front() = static_cast<char>(depth);
    return depth < 0 ? 0 : overflow_stack(depth + 1) + frame.front();
}

BOOST_AUTO_TEST_SUITE(crash_log_suite)

BOOST_AUTO_TEST_CASE(an_uncaught_exception_leaves_its_reason_in_the_log)
{
    const auto it = run_process([] { throw std::runtime_error{"the reason"}; });
    BOOST_TEST(it.signal == SIGABRT);
    BOOST_TEST(it.log.find("\"event\":\"uncaught-exception\",\"what\":\"the reason\"") != std::string::npos);
    BOOST_TEST(it.log.find("\"event\":\"crashed\",\"signal\":\"SIGABRT\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_memory_fault_leaves_a_line_and_ends_the_process_as_before)
{
    const auto it = run_process([] { std::raise(SIGSEGV); });
    BOOST_TEST(it.signal == SIGSEGV);
    BOOST_TEST(it.log.find("\"event\":\"crashed\",\"signal\":\"SIGSEGV\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_overflowed_stack_leaves_a_line)
{
    const auto it = run_process([] { static_cast<void>(overflow_stack(0)); });
    BOOST_TEST(it.signal == SIGSEGV);
    BOOST_TEST(it.log.find("\"event\":\"crashed\",\"signal\":\"SIGSEGV\"") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
