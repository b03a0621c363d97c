#include "program.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace {

struct run_outcome {
    int code = 0;
    std::string out;
    std::string err;
};

run_outcome run(std::vector<const char*> arguments)
{
    arguments.insert(arguments.begin(), "hemlocknotchctl");
    std::ostringstream out;
    std::ostringstream err;
    const int code =
        hemlocknotch::run_program(static_cast<int>(arguments.size()), arguments.data(), out, err);
    return {code, out.str(), err.str()};
}

/// A file that is removed again.
class temporary_file {
public:
    explicit temporary_file(const std::string& text) : path_{HEMLOCKNOTCH_BINARY_DIR "/ctl_test_input.json"}
    {
        std::ofstream{path_} << text;
    }

    ~temporary_file() { std::remove(path_.c_str()); }

    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    temporary_file(temporary_file&&) = delete;
    temporary_file& operator=(temporary_file&&) = delete;

    [[nodiscard]] const char* path() const { return path_.c_str(); }

private:
    std::string path_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(program_test)

BOOST_AUTO_TEST_CASE(help_and_version_are_results)
{
    BOOST_TEST(run({"--help"}).code == 0);
    BOOST_TEST(run({"--help"}).out.find("take-out") != std::string::npos);
    BOOST_TEST(run({"--version"}).out.starts_with("hemlocknotchctl "));
    BOOST_TEST(run({"apply", "--help"}).out.find("--wait") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_faulty_command_line_ends_with_2)
{
    for (const auto& arguments : std::vector<std::vector<const char*>>{{},
                                                                       {"unknown"},
                                                                       {"show", "--store", "localhost:1"},
                                                                       {"check"},
                                                                       {"check", "/no/such/file"},
                                                                       {"take-out", "rack", "a"},
                                                                       {"status", "--interval-ms", "1"},
                                                                       {"trace", "x.json"}}) {
        const run_outcome outcome = run(arguments);
        BOOST_TEST(outcome.code == 2);
        BOOST_TEST(!outcome.err.empty());
        BOOST_TEST(outcome.out.empty());
    }
}

BOOST_AUTO_TEST_CASE(a_document_is_checked)
{
    const std::string example = HEMLOCKNOTCH_SOURCE_DIR "/examples/saadruil.config.json";
    BOOST_TEST(run({"check", example.c_str()}).code == 0);
    const temporary_file faulty{R"({"services": {}, "profiles": {}, "client_accounts": {}, "extra": 1})"};
    BOOST_TEST(run({"check", faulty.path()}).code == 3);
    BOOST_TEST(run({"check", faulty.path()}).err.find("extra") != std::string::npos);
    BOOST_TEST(run({"--json", "check", faulty.path()}).out ==
               "{\"is_accepted\":false,\"errors\":[{\"path\":\"extra\",\"found\":\"a key that is not known\","
               "\"allowed\":\"only these keys: client_accounts out_of_service profiles services\"}]}\n");
}

BOOST_AUTO_TEST_CASE(a_service_that_is_not_there_ends_with_5)
{
    // Port 1 of the loopback has no listener.
    const std::string example = HEMLOCKNOTCH_SOURCE_DIR "/examples/saadruil.config.json";
    BOOST_TEST(run({"show", "--store", "127.0.0.1:1"}).code == 5);
    BOOST_TEST(run({"status", "--instances", "127.0.0.1:1"}).code == 5);
    const run_outcome applied = run({"apply", example.c_str(), "--store", "127.0.0.1:1", "--json"});
    BOOST_TEST(applied.code == 5);
    BOOST_TEST(applied.out.find("\"status\":\"unavailable\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_request_is_explained_from_logs)
{
    const temporary_file log{
        "no json\n"
        R"({"time":"1","level":"warning","process":"g1","event":"call-failed","request":"r1","endpoint":"p1",)"
        R"("outcome":"broken"})"
        "\n"
        R"({"time":"2","level":"warning","process":"g1","event":"request-ended","request":"r1","status":"502",)"
        R"("reason":"endpoint-broke-off"})"
        "\n"
        R"({"time":"3","level":"warning","process":"g1","event":"request-ended","request":"r2","status":"503",)"
        R"("reason":"overloaded"})"
        "\n"};
    const run_outcome outcome = run({"explain", "r1", log.path()});
    BOOST_TEST(outcome.code == 0);
    BOOST_TEST(outcome.out.find("an endpoint broke off") < outcome.out.find("may have run: the endpoint's"));
    BOOST_TEST(outcome.out.find("endpoint = p1") != std::string::npos);
    BOOST_TEST(outcome.out.find("overloaded") == std::string::npos);
    BOOST_TEST(run({"explain", "r2", log.path()}).out.find("it has not run") != std::string::npos);
    BOOST_TEST(run({"explain", "r3", log.path()}).code == 6);
}

BOOST_AUTO_TEST_CASE(a_trace_is_shown_as_a_tree)
{
    const temporary_file spans{
        "a log line\n"
        R"({"trace_id":"t","span_id":"2","parent_id":"1","operation":"link","start_us":1500,"duration_us":500,)"
        R"("tags":{"request_id":"r","process":"entry-a"}})"
        "\n"
        R"({"trace_id":"t","span_id":"1","parent_id":"","operation":"request","start_us":1000,)"
        R"("duration_us":2000,"tags":{"request_id":"r","process":"entry-a","outcome":"ran"}})"
        "\n"};
    const run_outcome outcome = run({"trace", spans.path(), "--request", "r"});
    BOOST_TEST(outcome.code == 0);
    BOOST_TEST(outcome.out.find("request") < outcome.out.find("  link"));
    BOOST_TEST(outcome.out.find("0.500") != std::string::npos);
    BOOST_TEST(run({"trace", spans.path(), "--request", "other"}).code == 6);
}

/// Guards against a command that fails without a word on what to do.
BOOST_AUTO_TEST_CASE(rollouts_of_a_gateway_that_gives_no_answer_end_with_a_remedy)
{
    std::ostringstream out;
    std::ostringstream err;
    const std::array arguments{"hemlocknotchctl", "--timeout-ms", "500", "rollouts", "127.0.0.1:1"};
    BOOST_TEST(hemlocknotch::run_program(static_cast<int>(arguments.size()), arguments.data(), out, err) ==
               5);
    BOOST_TEST(err.str().find("/listen/metrics") != std::string::npos);
    const std::array bad{"hemlocknotchctl", "rollouts", "nowhere"};
    BOOST_TEST(hemlocknotch::run_program(static_cast<int>(bad.size()), bad.data(), out, err) == 2);
}

BOOST_AUTO_TEST_SUITE_END()
