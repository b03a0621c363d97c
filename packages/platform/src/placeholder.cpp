#include <hemlocknotch/platform/configuration_document.hpp>
#include <hemlocknotch/platform/http_platform.hpp>
