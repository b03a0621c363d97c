#include "crash_log.hpp"

#include <hemlocknotch/core/log_record.hpp>

#include "../event_log.hpp"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <exception>
#include <string>

namespace hemlocknotch::daemon {
namespace {

struct fatal_signal {
    int number;
    const char* name;
};

constexpr std::array fatal_signals{fatal_signal{SIGABRT, "SIGABRT"}, fatal_signal{SIGSEGV, "SIGSEGV"},
                                   fatal_signal{SIGBUS, "SIGBUS"}, fatal_signal{SIGFPE, "SIGFPE"},
                                   fatal_signal{SIGILL, "SIGILL"}};
/// Enough for the handler, which must not use a stack that has overflowed.
constexpr std::size_t stack_size = std::size_t{64} << 10U;

// A signal handler gets no context and must not allocate.
std::array<std::string, fatal_signals.size()> lines;
std::string process_name;
std::array<char, stack_size> handler_stack;

std::string create_line(const log_effect& record)
{
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return log_line(record, log_format::json, std::to_string(time.count()), process_name) + "\n";
}

void write_line(const std::string& line)
{
    // A log that takes nothing now must not keep the process from ending.
    static_cast<void>(::write(STDOUT_FILENO, line.data(), line.size()) < 0);
}

void handle_signal(int number)
{
    for (std::size_t n = 0; n < fatal_signals.size(); ++n) {
        if (fatal_signals.at(n).number == number) {
            write_line(lines.at(n));
        }
    }
    // The handler was reset: this ends the process once it returns.
    static_cast<void>(std::raise(number));
}

std::string describe_exception()
{
    if (const auto it = std::current_exception()) {
        try {
            std::rethrow_exception(it);
        }
        catch (const std::exception& error) {
            return error.what();
        }
        catch (...) {
            return "an exception of another kind";
        }
    }
    return "no exception";
}

[[noreturn]] void handle_termination()
{
    write_line(create_line({log_level::error, "uncaught-exception", {{"what", describe_exception()}}}));
    std::abort();
}

} // namespace

void install_crash_log(std::string_view instance)
{
    process_name = instance;
    stack_t stack{};
    stack.ss_sp = handler_stack.data();
    stack.ss_size = handler_stack.size();
    static_cast<void>(sigaltstack(&stack, nullptr));
    for (std::size_t n = 0; n < fatal_signals.size(); ++n) {
        const auto& it = fatal_signals.at(n);
        // Without the time: the handler must not format one.
        lines.at(n) = log_line({log_level::error, "crashed", {{"signal", it.name}}}, log_format::json, "",
                               process_name) +
                      "\n";

        struct sigaction action {};

        action.sa_handler = handle_signal;
        action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK);
        static_cast<void>(sigaction(it.number, &action, nullptr));
    }
    std::set_terminate(handle_termination);
}

} // namespace hemlocknotch::daemon
