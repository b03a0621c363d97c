#include <hemlocknotch/core/agent_reducer.hpp>
#include <hemlocknotch/core/entry_reducer.hpp>
