// A burst of clients that each send the largest body that the operator allows, to one gateway process. The
// platform's store, the engines, the clients and the platform's watch on memory are stand-ins in this
// process.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using nlohmann::json;
using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Figures of the pages and of the site fassreg-ch.
constexpr std::size_t max_body_bytes = 4'194'304;
constexpr std::size_t usual_body_bytes = 12'000;
constexpr long memory_limit_kb = 110L * 1024;
/// Channels that send the large requests, and others that send usual ones all the time.
constexpr int burst_channels = 48;
constexpr int usual_channels = 24;
constexpr auto contact = 3000ms;
constexpr auto longest_run = 100s;
/// LOST breaks from the fourth channel that is closed so.
constexpr int allowed_lost = 3;

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

const auto started_at = steady_clock::now();
std::mutex record_mutex;
std::ofstream record_file;

void record(const std::string& line)
{
    const auto at = std::chrono::duration_cast<milliseconds>(steady_clock::now() - started_at).count();
    const std::lock_guard lock{record_mutex};
    record_file << at << " ms  " << line << std::endl;
}

class unique_socket {
public:
    explicit unique_socket(int fd = -1) : fd_{fd} {}

    unique_socket(unique_socket&& other) noexcept : fd_{std::exchange(other.fd_, -1)} {}

    unique_socket& operator=(unique_socket&& other) noexcept
    {
        std::swap(fd_, other.fd_);
        return *this;
    }

    ~unique_socket()
    {
        if (fd_ >= 0) {
            ::close(fd_);
        }
    }

    [[nodiscard]] int get() const { return fd_; }

private:
    int fd_;
};

sockaddr_in loopback(unsigned short port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

unsigned short port_of(int fd)
{
    sockaddr_in at{};
    socklen_t length = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &length);
    return ntohs(at.sin_port);
}

unique_socket listen_on(unsigned short port)
{
    unique_socket out{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    const auto at = loopback(port);
    if (::bind(out.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(out.get(), 1024) != 0) {
        throw std::runtime_error{"cannot listen"};
    }
    return out;
}

unsigned short free_port(int type)
{
    const unique_socket it{::socket(AF_INET, type | SOCK_CLOEXEC, 0)};
    const auto at = loopback(0);
    if (::bind(it.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
        throw std::runtime_error{"no free port"};
    }
    return port_of(it.get());
}

std::string address_of(unsigned short port)
{
    return "127.0.0.1:" + std::to_string(port);
}

unique_socket connect_to(unsigned short port)
{
    unique_socket out{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    const auto at = loopback(port);
    if (::connect(out.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
        return unique_socket{};
    }
    const int on = 1;
    setsockopt(out.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return out;
}

bool send_all(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

struct message {
    std::string first_line;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? "" : it->second;
    }
};

/// Reads one message with a length, or without a body. Returns nothing where the channel ends before its end.
std::optional<message> read_message(int fd, std::string& input, milliseconds timeout = 60s)
{
    const auto until = steady_clock::now() + timeout;
    std::size_t head_end = 0;
    std::optional<message> out;
    std::size_t length = 0;
    std::vector<char> buf(65'536);
    for (;;) {
        if (!out && (head_end = input.find("\r\n\r\n")) != std::string::npos) {
            out.emplace();
            std::istringstream lines{input.substr(0, head_end)};
            std::string line;
            std::getline(lines, out->first_line);
            while (std::getline(lines, line)) {
                const auto colon = line.find(':');
                auto name = line.substr(0, colon);
                std::ranges::transform(name, name.begin(),
                                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
                auto value = line.substr(std::min(line.size(), colon + 2));
                if (value.ends_with('\r')) {
                    value.pop_back();
                }
                out->headers[name] = value;
            }
            const auto text = out->header("content-length");
            length = text.empty() ? 0 : std::stoul(text);
        }
        if (out && input.size() >= head_end + 4 + length) {
            out->body = input.substr(head_end + 4, length);
            input.erase(0, head_end + 4 + length);
            return out;
        }
        pollfd it{fd, POLLIN, 0};
        const auto left = std::chrono::duration_cast<milliseconds>(until - steady_clock::now()).count();
        if (left <= 0 || ::poll(&it, 1, static_cast<int>(left)) <= 0) {
            return std::nullopt;
        }
        const auto n = ::recv(fd, buf.data(), buf.size(), 0);
        if (n <= 0) {
            return std::nullopt;
        }
        input.append(buf.data(), static_cast<std::size_t>(n));
    }
}

std::string answer(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Serves every connection on a thread of its own. Lives until the process ends.
class server {
public:
    explicit server(std::function<std::string(const message&)> handle)
        : handle_{std::move(handle)}, listener_{listen_on(0)}
    {
        std::thread{[this] { accept_all(); }}.detach();
    }

    [[nodiscard]] std::string address() const { return address_of(port_of(listener_.get())); }

private:
    void accept_all()
    {
        for (;;) {
            const auto fd = ::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread{[this, fd] {
                const unique_socket owner{fd};
                std::string input;
                while (const auto request = read_message(fd, input)) {
                    if (!send_all(fd, handle_(*request))) {
                        return;
                    }
                }
            }}.detach();
        }
    }

    std::function<std::string(const message&)> handle_;
    unique_socket listener_;
};

std::string base64(std::string_view bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            value = value << 8U | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += n + k <= bytes.size() ? digits[value >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return out;
}

/// The platform's store, as far as a gateway calls it: all keys in one page, watches, leases that never end.
class store {
public:
    store() : server_{[this](const message& it) { return handle(it); }} {}

    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock{mutex_};
        write(key, base64(value), 0);
    }

    [[nodiscard]] std::string address() const { return server_.address(); }

private:
    void write(const std::string& key, const std::string& value, std::uint64_t lease)
    {
        ++revision_;
        items_[key] = {{"key", key},
                       {"value", value},
                       {"revision", revision_},
                       {"created-rev", revision_},
                       {"lease", lease}};
    }

    std::string handle(const message& request)
    {
        const std::lock_guard lock{mutex_};
        const auto target = request.first_line.substr(request.first_line.find(' ') + 1);
        json out;
        if (target.starts_with("/v1/kv-range")) {
            out = {{"items", json::array()}, {"has-more", false}};
            for (const auto& [key, it] : items_) {
                out["items"].push_back(it);
            }
            out["current-rev"] = revision_;
        }
        else if (target.starts_with("/v1/kv-watch")) {
            const auto after = std::stoull(target.substr(target.find("after=") + 6));
            out = {{"events", json::array()}, {"current-rev", revision_}};
            std::vector<json> events;
            for (const auto& [key, it] : items_) {
                if (it["revision"].get<std::uint64_t>() > after) {
                    events.push_back(it);
                }
            }
            std::ranges::sort(events, {}, [](const json& it) { return it["revision"].get<std::uint64_t>(); });
            out["events"] = events;
        }
        else if (target.starts_with("/v1/kv-lease-end")) {
            out = json::object();
        }
        else if (target.starts_with("/v1/kv-lease")) {
            out = {{"lease", ++last_lease_}, {"ttl-ms", 5000}};
        }
        else if (target.starts_with("/v1/kv-keep")) {
            out = {{"ttl-ms", 5000}};
        }
        else if (target.starts_with("/v1/kv-txn")) {
            for (const auto& it : json::parse(request.body)["puts"]) {
                write(it["key"], it["value"], it["lease"]);
            }
            out = {{"revision", revision_}};
        }
        return answer(out.is_null() ? 404 : 200, "Content-Type: application/json\r\nStore-Era: 1\r\n",
                      out.dump());
    }

    std::mutex mutex_;
    std::map<std::string, json> items_;
    std::uint64_t revision_ = 1;
    std::uint64_t last_lease_ = 0;
    server server_;
};

std::mutex runs_mutex;
std::map<std::string, int> runs;

/// A sound plain service: works 30 ms on each request, as the sheet says.
std::string run(const message& request)
{
    const auto id = request.header("x-request-id");
    {
        const std::lock_guard lock{runs_mutex};
        ++runs[id];
    }
    std::this_thread::sleep_for(30ms);
    return answer(200, "X-Request-Id: " + id + "\r\nX-Response-Signature: proof-" + id + "\r\n",
                  std::string(800, 'a'));
}

std::string configuration()
{
    return json{
        {"version", 1},
        {"routes",
         {{{"name", "transfer"},
           {"hostname", "fassreg.example"},
           {"prefix", "/transfer/"},
           {"route-type", "unsafe"},
           {"timeout-ms", 8000},
           {"target-latency-ms", 150},
           {"priority", 1},
           {"backend", "register-app"},
           {"max-attempts", 1},
           {"anonymous", false}}}},
        {"backends", {{{"name", "register-app"}, {"health-path", "/healthz"}, {"max-connections", 100}}}},
        {"limits",
         {{"max-header-bytes", 16'384},
          {"max-body-bytes", max_body_bytes},
          {"header-timeout-ms", 3000},
          {"idle-timeout-ms", 15'000}}},
        {"tenants", {{{"name", "acme"}, {"api-keys", {"key-1"}}}}}}
        .dump();
}

/// The process of the deploy file's role, with its settings in a temporary folder.
class gateway {
public:
    explicit gateway(const std::string& store)
        : callers{free_port(SOCK_STREAM)}, ready_{free_port(SOCK_STREAM)}
    {
        auto pattern = std::filesystem::temp_directory_path() / "review-XXXXXX";
        std::string text = pattern.string();
        if (mkdtemp(text.data()) == nullptr) {
            throw std::runtime_error{"no temporary folder"};
        }
        folder_ = text;
        const auto file = folder_ + "/settings.json";
        std::ofstream{file} << json{
            {"instance", "edge-bern-a-1"},
            {"failure_domain", "bern-a"},
            {"listen",
             {{"callers", address_of(callers)},
              {"readiness", address_of(ready_)},
              {"registry", address_of(free_port(SOCK_STREAM))},
              {"members", address_of(free_port(SOCK_DGRAM))},
              {"metrics", address_of(free_port(SOCK_STREAM))}}},
            {"store", store},
            {"seeds", json::array()},
            {"limits", {{"descriptors", 4100}, {"stop_grace_s", 8}}},
            {"bounds",
             {{"drain_ms", 2000}, {"configuration_ms", 2000}, {"retry_ratio", 0.2}, {"retry_reserve", 54}}}};
        const std::string program = "target/bin/hemlocknotchd";
        const std::string variable = "HEMLOCKNOTCH_NODE_FILE=" + file;
        std::vector<char*> arguments{const_cast<char*>(program.c_str()), const_cast<char*>("gateway"),
                                     nullptr};
        std::vector<char*> environment{const_cast<char*>(variable.c_str()), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        const auto log = folder_ + "/log";
        posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        const auto result =
            posix_spawn(&process_, program.c_str(), &actions, nullptr, arguments.data(), environment.data());
        posix_spawn_file_actions_destroy(&actions);
        if (result != 0) {
            throw std::runtime_error{"cannot start " + program};
        }
    }

    ~gateway()
    {
        end();
        std::filesystem::remove_all(folder_);
    }

    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    void end()
    {
        if (process_ > 0) {
            kill(process_, SIGKILL);
            waitpid(process_, nullptr, 0);
            process_ = 0;
        }
    }

    [[nodiscard]] bool is_ready() const
    {
        const auto it = connect_to(ready_);
        std::string input;
        if (it.get() < 0 || !send_all(it.get(), "GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n")) {
            return false;
        }
        const auto page = read_message(it.get(), input, 1s);
        return page && page->first_line.find(" 200 ") != std::string::npos;
    }

    /// Memory of the process in kB, as the kernel tells it. 0: unknown.
    [[nodiscard]] long memory_kb() const
    {
        std::ifstream file{"/proc/" + std::to_string(process_) + "/status"};
        std::string line;
        while (std::getline(file, line)) {
            if (line.starts_with("VmRSS:")) {
                return std::stol(line.substr(6));
            }
        }
        return 0;
    }

    const unsigned short callers;

private:
    unsigned short ready_;
    std::string folder_;
    pid_t process_ = 0;
};

std::string transfer(const std::string& id, const std::string& body)
{
    return "POST /transfer/1 HTTP/1.1\r\nHost: fassreg.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 8000\r\nX-Credential: key-1\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct outcome {
    std::string id;
    bool was_sent = false;
    /// 0: the channel ended without an answer.
    int status = 0;
};

outcome ask(int fd, std::string& input, const std::string& id, const std::string& body)
{
    outcome out{id};
    out.was_sent = send_all(fd, transfer(id, body));
    if (const auto it = read_message(fd, input, 10s)) {
        out.status = std::stoi(it->first_line.substr(9, 3));
    }
    return out;
}

int play(const std::string& folder, bool has_trouble)
{
    record_file.open(folder + "/record.txt", std::ios::trunc);
    store platform;
    std::vector<std::unique_ptr<server>> engines;
    platform.put("op/config", configuration());
    for (int n = 0; n < 3; ++n) {
        engines.push_back(std::make_unique<server>(run));
        platform.put("servers/i-" + std::to_string(n), json{{"backend", "register-app"},
                                                            {"address", engines.back()->address()},
                                                            {"zone", "bern-a"},
                                                            {"version", "v1"},
                                                            {"slots", 6},
                                                            {"state", "ready"},
                                                            {"cold-remaining-ms", 0},
                                                            {"seq", 1},
                                                            {"born", 1}}
                                                           .dump());
    }
    gateway process{platform.address()};
    for (int n = 0; n < 100 && !process.is_ready(); ++n) {
        std::this_thread::sleep_for(100ms);
    }
    if (!process.is_ready()) {
        record("the gateway is not ready after 10 s");
        return could_not_run;
    }
    record("the gateway is ready, with " + std::to_string(process.memory_kb()) + " kB");

    std::thread{[&process] {
        std::this_thread::sleep_for(longest_run);
        process.end();
        std::quick_exit(could_not_run);
    }}.detach();

    // The platform ends a process that has more memory than its machine allows.
    std::atomic<bool> is_over = false;
    std::atomic<bool> is_ending = false;
    std::atomic<long> most_kb = 0;
    std::thread watch{[&] {
        while (!is_ending && !is_over) {
            const auto now_kb = process.memory_kb();
            most_kb = std::max(most_kb.load(), now_kb);
            if (now_kb > memory_limit_kb) {
                is_over = true;
                record("the process has " + std::to_string(now_kb) + " kB of " +
                       std::to_string(memory_limit_kb) + " kB allowed: the platform ends it");
                process.end();
                return;
            }
            std::this_thread::sleep_for(2ms);
        }
    }};

    std::mutex outcomes_mutex;
    std::vector<outcome> outcomes;
    std::atomic<int> kept = 0;
    std::atomic<bool> is_burst = false;
    std::atomic<bool> is_over_for_clients = false;
    const std::string body(has_trouble ? max_body_bytes : usual_body_bytes, 'b');
    std::vector<std::thread> clients;
    for (int n = 0; n < burst_channels; ++n) {
        clients.emplace_back([&, n] {
            const auto channel = connect_to(process.callers);
            std::string input;
            const auto name = std::to_string(n);
            // Later requests of the channel are those of a kept one.
            std::this_thread::sleep_for(milliseconds{20 * n});
            const auto first = ask(channel.get(), input, "first-" + name, std::string(usual_body_bytes, 'f'));
            kept += first.status == 200 ? 1 : 0;
            while (!is_burst) {
                std::this_thread::sleep_for(5ms);
            }
            auto out = ask(channel.get(), input, "burst-" + name, body);
            const std::lock_guard lock{outcomes_mutex};
            outcomes.push_back(std::move(out));
        });
    }
    std::vector<std::thread> usual_clients;
    for (int n = 0; n < usual_channels; ++n) {
        usual_clients.emplace_back([&, n] {
            const auto channel = connect_to(process.callers);
            std::string input;
            for (int k = 0; !is_over_for_clients; ++k) {
                auto out = ask(channel.get(), input, "usual-" + std::to_string(n) + "-" + std::to_string(k),
                               std::string(usual_body_bytes, 'u'));
                const auto is_end = out.status == 0;
                if (k > 0) {
                    const std::lock_guard lock{outcomes_mutex};
                    outcomes.push_back(std::move(out));
                }
                if (is_end) {
                    return;
                }
                std::this_thread::sleep_for(2ms);
            }
        });
    }
    // The gateway is in touch from `contact` on.
    std::this_thread::sleep_for(contact + 1s);
    const auto kept_before = kept.load();
    record(std::to_string(kept_before) +
           " channels are kept after a first answer; now each sends one request of " +
           std::to_string(body.size()) + " bytes");
    is_burst = true;
    for (auto& it : clients) {
        it.join();
    }
    is_over_for_clients = true;
    for (auto& it : usual_clients) {
        it.join();
    }
    is_ending = true;
    watch.join();

    int lost = 0;
    int answered = 0;
    int answered_usual = 0;
    for (const auto& it : outcomes) {
        int times = 0;
        {
            const std::lock_guard lock{runs_mutex};
            const auto found = runs.find(it.id);
            times = found == runs.end() ? 0 : found->second;
        }
        const auto is_usual = it.id.starts_with("usual-") && it.status == 200 && times == 1;
        answered_usual += is_usual ? 1 : 0;
        if (is_usual) {
            continue;
        }
        record(it.id + ": " + (it.was_sent ? "sent whole" : "not sent whole") + ", " +
               (it.status == 0 ? std::string{"no answer"} : "answer " + std::to_string(it.status)) +
               ", run " + std::to_string(times) + " times");
        answered += it.status != 0 ? 1 : 0;
        lost += it.status == 0 && times > 0 ? 1 : 0;
    }
    record("most memory " + std::to_string(most_kb) + " kB; " + std::to_string(answered_usual) +
           " usual requests on kept channels and " + std::to_string(answered) + " others answered; " +
           std::to_string(lost) + " passed on to a sound engine and their channels closed without an answer");
    if (kept_before != burst_channels) {
        return could_not_run;
    }
    return lost > allowed_lost ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = argc > 1 ? argv[1] : ".";
    const auto* trouble = std::getenv("TROUBLE");
    int code = could_not_run;
    try {
        code = play(folder, trouble == nullptr || std::string{trouble} != "0");
    }
    catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
    }
    std::cout.flush();
    std::cerr.flush();
    std::quick_exit(code);
}
