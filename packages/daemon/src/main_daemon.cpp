#include "command_line.hpp"

int main(int argc, char** argv)
{
    return hemlocknotch::daemon::run_command_line(argc, argv);
}
