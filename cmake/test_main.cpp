#define BOOST_TEST_MODULE hemlocknotch
#include <boost/test/unit_test.hpp>
