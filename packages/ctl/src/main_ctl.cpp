#include "program.hpp"

#include <csignal>
#include <iostream>

int main(int argc, char** argv)
{
    // A peer that closes its connection must not end the program.
    std::signal(SIGPIPE, SIG_IGN);
    return hemlocknotch::run_program(argc, argv, std::cout, std::cerr);
}
