#include <hemlocknotch/standins/child_process.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string_view>
#include <system_error>

namespace hemlocknotch::standins {
namespace {

constexpr int log_permissions = 0644;

std::string directory_of(pid_t pid)
{
    return "/proc/" + std::to_string(pid);
}

} // namespace

child_process::child_process(const std::vector<std::string>& command, const std::string& log_path)
{
    assert(!command.empty());
    auto words = command;
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (auto& it : words) {
        arguments.push_back(it.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     log_permissions);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error =
        posix_spawn(&pid_, command.front().c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        pid_ = -1;
        throw std::runtime_error{command.front() + " cannot be started: " + std::strerror(error)};
    }
}

child_process::~child_process()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

void child_process::send_signal(int number)
{
    if (is_running()) {
        ::kill(pid_, number);
    }
}

bool child_process::is_running()
{
    int status = 0;
    if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    return pid_ > 0;
}

std::size_t child_process::peak_resident_bytes() const
{
    constexpr std::size_t kilobyte = 1024;
    std::ifstream file{directory_of(pid_) + "/status"};
    for (std::string line; std::getline(file, line);) {
        constexpr std::string_view name = "VmHWM:";
        if (line.starts_with(name)) {
            return std::stoul(line.substr(name.size())) * kilobyte;
        }
    }
    return 0;
}

std::size_t child_process::descriptor_count() const
{
    std::error_code error;
    const std::filesystem::directory_iterator it{directory_of(pid_) + "/fd", error};
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(it), end(it)));
}

} // namespace hemlocknotch::standins
