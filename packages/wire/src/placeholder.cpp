#include <hemlocknotch/wire/link_factory.hpp>
