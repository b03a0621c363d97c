#include <hemlocknotch/standins/loopback_block.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>

namespace hemlocknotch::standins {

loopback_block::loopback_block()
{
    constexpr int blocks = 250;
    constexpr std::uint16_t reservation_port = 7400;
    for (int n = 0; n < blocks; ++n) {
        number_ = 1 + (::getpid() + n) % blocks;
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(reservation_port);
        inet_pton(AF_INET, host(254).c_str(), &at.sin_addr);
        if (::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
            return;
        }
        ::close(fd_);
    }
    throw std::runtime_error{"every block of loopback addresses is in use"};
}

loopback_block::~loopback_block()
{
    ::close(fd_);
}

std::string loopback_block::host(int number) const
{
    return "127.1." + std::to_string(number_) + "." + std::to_string(number);
}

} // namespace hemlocknotch::standins
