#pragma once

#include "net.hpp"

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <sstream>

/// Stand-ins of the platform for review cases: its store, its engines, and the processes that it starts.
namespace review {

using nlohmann::json;

/// Writes record.txt, one line each event.
class record {
public:
    explicit record(const std::string& path) : out_{path} {}

    template <class... Parts>
    void line(const Parts&... parts)
    {
        std::ostringstream text;
        text.setf(std::ios::fixed);
        text.precision(3);
        text << seconds();
        ((text << ' ' << parts), ...);
        const std::lock_guard lock{mutex_};
        out_ << text.str() << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

inline std::string encode_base64(std::string_view bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        std::uint32_t block = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            block = block << 8U | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += n + k > bytes.size() ? '=' : digits[block >> (18U - 6U * k) & 63U];
        }
    }
    return out;
}

/// Returns the value of the parameter `name` of a request's query, with %XX decoded.
inline std::string parameter(const std::string& target, const std::string& name)
{
    for (auto at = target.find_first_of("?&"); at != std::string::npos; at = target.find('&', at + 1)) {
        if (target.compare(at + 1, name.size() + 1, name + "=") == 0) {
            const auto begin = at + name.size() + 2;
            const auto text = target.substr(begin, target.find('&', begin) - begin);
            std::string out;
            for (std::size_t n = 0; n < text.size(); ++n) {
                if (text[n] == '%') {
                    out += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
                    n += 2;
                }
                else {
                    out += text[n];
                }
            }
            return out;
        }
    }
    return {};
}

/// The platform's store. Thread-safe.
class store {
public:
    /// Time that an answer takes, as the pages state it.
    static constexpr double answer_time = 0.004;

    store() : server_{[this](connection& to, const message& request) { serve(to, request); }}
    {
        port_ = server_.start(free_port());
        sweeper_ = std::thread{[this] {
            while (!is_over_) {
                pause_for(0.02);
                const std::lock_guard lock{mutex_};
                end_leases();
            }
        }};
    }

    ~store()
    {
        is_over_ = true;
        sweeper_.join();
        server_.stop();
    }

    store(const store&) = delete;
    store& operator=(const store&) = delete;

    [[nodiscard]] int port() const { return port_; }

    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock{mutex_};
        write(key, encode_base64(value), 0);
    }

    void remove(const std::string& key)
    {
        const std::lock_guard lock{mutex_};
        erase(key);
    }

    /// Refuses every call with 503, or serves again. Leases end as an outage begins.
    void set_out(bool is_out)
    {
        const std::lock_guard lock{mutex_};
        is_out_ = is_out;
        for (auto& [id, it] : leases_) {
            it.ends_at = is_out ? 0.0 : it.ends_at;
        }
    }

    /// Returns the keys that begin with `prefix`.
    std::vector<std::string> keys(const std::string& prefix)
    {
        const std::lock_guard lock{mutex_};
        std::vector<std::string> out;
        for (const auto& [key, it] : items_) {
            if (key.starts_with(prefix)) {
                out.push_back(key);
            }
        }
        return out;
    }

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct lease {
        double ttl = 0.0;
        double ends_at = 0.0;
    };

    static json to_json(const std::string& key, const item& it)
    {
        return {{"key", key},
                {"value", it.value},
                {"revision", it.revision},
                {"created-rev", it.created},
                {"lease", it.lease}};
    }

    void write(const std::string& key, const std::string& value, std::uint64_t lease_id)
    {
        auto& it = items_[key];
        it.revision = ++revision_;
        it.created = it.created == 0 ? revision_ : it.created;
        it.value = value;
        it.lease = lease_id;
        events_.push_back(to_json(key, it));
    }

    void erase(const std::string& key)
    {
        if (items_.erase(key) > 0) {
            events_.push_back({{"key", key}, {"revision", ++revision_}, {"deleted", true}});
        }
    }

    void end_lease(std::uint64_t id)
    {
        std::vector<std::string> ended;
        for (const auto& [key, it] : items_) {
            if (it.lease == id) {
                ended.push_back(key);
            }
        }
        for (const auto& key : ended) {
            erase(key);
        }
    }

    void end_leases()
    {
        for (auto it = leases_.begin(); it != leases_.end();) {
            if (it->second.ends_at < seconds()) {
                end_lease(it->first);
                it = leases_.erase(it);
            }
            else {
                ++it;
            }
        }
    }

    std::pair<int, json> answer(const message& request)
    {
        const std::lock_guard lock{mutex_};
        end_leases();
        const auto target = request.target();
        const auto path = target.substr(0, target.find('?'));
        if (path == "/v1/kv-key") {
            const auto it = items_.find(parameter(target, "key"));
            return it == items_.end() ? std::pair{404, json{{"current-rev", revision_}}}
                                      : std::pair{200, to_json(it->first, it->second)};
        }
        if (path == "/v1/kv-range") {
            json out{{"items", json::array()}, {"has-more", false}, {"current-rev", revision_}};
            const auto prefix = parameter(target, "prefix");
            const auto after = parameter(target, "after");
            for (const auto& [key, it] : items_) {
                if (key.starts_with(prefix) && (after.empty() || key > after)) {
                    out["items"].push_back(to_json(key, it));
                }
            }
            return {200, out};
        }
        if (path == "/v1/kv-watch") {
            json out{{"events", json::array()}, {"current-rev", revision_}};
            const auto after = std::stoull(parameter(target, "after"));
            const auto prefix = parameter(target, "prefix");
            for (const auto& it : events_) {
                if (it.at("revision").get<std::uint64_t>() > after &&
                    it.at("key").get<std::string>().starts_with(prefix)) {
                    out["events"].push_back(it);
                }
            }
            return {200, out};
        }
        if (path == "/v1/kv-lease") {
            const auto ttl = json::parse(request.body).at("ttl-ms").get<double>();
            leases_[++last_lease_] = {ttl / 1000.0, seconds() + ttl / 1000.0};
            return {200, {{"lease", last_lease_}, {"ttl-ms", ttl}}};
        }
        if (path.starts_with("/v1/kv-keep/")) {
            const auto it = leases_.find(std::stoull(path.substr(12)));
            if (it == leases_.end()) {
                return {404, json::object()};
            }
            it->second.ends_at = seconds() + it->second.ttl;
            return {200, {{"lease", it->first}, {"ttl-ms", it->second.ttl * 1000.0}}};
        }
        if (path.starts_with("/v1/kv-lease-end/")) {
            const auto id = std::stoull(path.substr(17));
            leases_.erase(id);
            end_lease(id);
            return {200, json::object()};
        }
        return path == "/v1/kv-txn" ? transact(json::parse(request.body)) : std::pair{404, json::object()};
    }

    std::pair<int, json> transact(const json& body)
    {
        json failed = json::array();
        for (const auto& it : body.at("expect")) {
            const auto key = it.at("key").get<std::string>();
            const auto known = items_.find(key);
            if ((known == items_.end() ? 0 : known->second.revision) !=
                it.at("revision").get<std::uint64_t>()) {
                failed.push_back(known == items_.end() ? json{{"key", key}, {"revision", 0}}
                                                       : to_json(key, known->second));
            }
        }
        if (!failed.empty()) {
            return {412, {{"items", failed}}};
        }
        for (const auto& it : body.at("puts")) {
            const auto id = it.value("lease", std::uint64_t{0});
            if (id != 0 && !leases_.contains(id)) {
                return {404, json::object()};
            }
        }
        for (const auto& it : body.at("puts")) {
            write(it.at("key"), it.at("value"), it.value("lease", std::uint64_t{0}));
        }
        for (const auto& it : body.at("remove")) {
            erase(it.get<std::string>());
        }
        return {200, {{"revision", revision_}}};
    }

    void serve(connection& to, const message& request)
    {
        pause_for(answer_time);
        const auto [status, body] = is_out_ ? std::pair{503, json::object()} : answer(request);
        const auto text = body.dump();
        to.send("HTTP/1.1 " + std::to_string(status) +
                " Answer\r\nContent-Type: application/json\r\nStore-Era: 1\r\n" +
                "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
    }

    std::mutex mutex_;
    std::map<std::string, item> items_;
    std::vector<json> events_;
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t last_lease_ = 0;
    std::uint64_t revision_ = 0;
    std::atomic<bool> is_out_{false};
    std::atomic<bool> is_over_{false};
    std::thread sweeper_;
    server server_;
    int port_ = 0;
};

struct engine_options {
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    std::string version = "1";
    int slots = 64;
    /// Time for which it is cold after it starts during traffic.
    double cold_s = 0.0;
};

/// One engine: serves requests, and registers itself each `heartbeat` and whenever its state changes.
class engine {
public:
    static constexpr double heartbeat = 1.2;
    using handler = std::function<void(connection&, const message&)>;

    engine(store& registry, engine_options options, handler serve)
        : registry_{registry},
          options_{std::move(options)},
          serve_{std::move(serve)},
          server_{[this](connection& to, const message& it) { on_request(to, it); }}
    {
        port_ = server_.start(free_port());
        begin(0.0);
        beats_ = std::thread{[this] { beat(); }};
    }

    ~engine()
    {
        is_over_ = true;
        beats_.join();
        server_.stop();
    }

    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    /// Ends as a process that crashes: sends nothing more, and its channels are reset.
    void crash()
    {
        is_up_ = false;
        server_.stop();
    }

    /// Starts again at its address under `id`, cold. It registers before it accepts a request. An empty
    /// `version` leaves that of its software.
    void restart(const std::string& id, const std::string& version = {})
    {
        if (id != options_.id) {
            registry_.remove("servers/" + options_.id);
        }
        options_.id = id;
        options_.version = version.empty() ? options_.version : version;
        begin(options_.cold_s);
        server_.start(port_);
    }

    /// Reports that it leaves, or is ready again.
    void set_state(const std::string& state)
    {
        const std::lock_guard lock{mutex_};
        state_ = state;
        register_self();
    }

    [[nodiscard]] bool is_cold() const { return seconds() < cold_until_; }

    [[nodiscard]] double cold_until() const { return cold_until_; }

    [[nodiscard]] const std::string& id() const { return options_.id; }

    [[nodiscard]] const std::string& version() const { return options_.version; }

    [[nodiscard]] bool is_up() const { return is_up_; }

    [[nodiscard]] int port() const { return port_; }

private:
    void begin(double cold_s)
    {
        const std::lock_guard lock{mutex_};
        seq_ = 0;
        born_ = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                               std::chrono::system_clock::now().time_since_epoch())
                                               .count());
        cold_until_ = seconds() + cold_s;
        last_beat_ = seconds();
        is_up_ = true;
        register_self();
    }

    void register_self()
    {
        const auto cold_ms = std::max(0.0, cold_until_ - seconds()) * 1000.0;
        const json entry{{"backend", options_.service},
                         {"address", "127.0.0.1:" + std::to_string(port_)},
                         {"zone", options_.zone},
                         {"version", options_.version},
                         {"slots", options_.slots},
                         {"state", state_},
                         {"cold-remaining-ms", static_cast<int>(cold_ms)},
                         {"seq", ++seq_},
                         {"born", born_}};
        registry_.put("servers/" + options_.id, entry.dump());
        last_beat_ = seconds();
    }

    void beat()
    {
        while (!is_over_) {
            pause_for(0.05);
            const std::lock_guard lock{mutex_};
            if (is_up_ && seconds() - last_beat_ >= heartbeat) {
                register_self();
            }
            // The platform removes the entry after three intervals of silence.
            if (!is_up_ && seconds() - last_beat_ >= 3 * heartbeat) {
                registry_.remove("servers/" + options_.id);
                last_beat_ = seconds() + 1e9;
            }
        }
    }

    void on_request(connection& to, const message& request)
    {
        const auto meant = request.header("X-Target-Instance");
        if (!meant.empty() && meant != options_.id) {
            to.send("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + options_.id +
                    "\r\nX-Request-Id: " + request.header("X-Request-Id") + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        serve_(to, request);
    }

    store& registry_;
    engine_options options_;
    handler serve_;
    std::mutex mutex_;
    std::string state_ = "ready";
    std::uint64_t seq_ = 0;
    std::uint64_t born_ = 0;
    double last_beat_ = 0.0;
    std::atomic<double> cold_until_{0.0};
    std::atomic<bool> is_up_{true};
    std::atomic<bool> is_over_{false};
    std::thread beats_;
    int port_ = 0;
    server server_;
};

/// Returns the head and the body of an engine's answer to `request`.
inline std::string engine_answer(const message& request, int status, const std::string& body,
                                 const std::string& headers = {})
{
    return "HTTP/1.1 " + std::to_string(status) +
           " Answer\r\nX-Request-Id: " + request.header("X-Request-Id") +
           "\r\nX-Response-Signature: 3e1b.07.5a2." + std::to_string(body.size()) + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// One gateway, started with the command of the deploy file and with settings as its template gives them.
class gateway {
public:
    gateway(std::string name, std::string folder, int store_port)
        : name_{std::move(name)},
          folder_{std::move(folder)},
          store_port_{store_port},
          front_{free_port()},
          ready_{free_port()},
          control_{free_port()},
          members_{free_port()},
          metrics_{free_port()}
    {
    }

    ~gateway() { signal(SIGKILL); }

    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    void write_settings(const std::vector<std::unique_ptr<gateway>>& all) const
    {
        const auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
        json seeds = json::array();
        for (const auto& it : all) {
            if (seeds.size() < 3) {
                seeds.push_back(at(it->control_));
            }
        }
        const json out{
            {"instance", name_},
            {"failure_domain", "zone-a"},
            {"listen",
             {{"callers", at(front_)},
              {"readiness", at(ready_)},
              {"registry", at(control_)},
              {"members", at(members_)},
              {"metrics", at(metrics_)}}},
            {"store", at(store_port_)},
            {"seeds", seeds},
            {"limits", {{"descriptors", 4100}, {"memory_mb", 260}, {"stop_grace_s", 8}}},
            {"bounds",
             {{"drain_ms", 2000}, {"configuration_ms", 2000}, {"retry_ratio", 0.2}, {"retry_reserve", 52}}}};
        std::ofstream{settings_path()} << out.dump(2) << "\n";
    }

    void start()
    {
        const auto log = folder_ + "/" + name_ + ".log";
        const auto settings = settings_path();
        pid_ = ::fork();
        if (pid_ == 0) {
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::setenv("HEMLOCKNOTCH_NODE_FILE", settings.c_str(), 1);
            ::execl("target/bin/hemlocknotchd", "hemlocknotchd", "gateway", static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }

    /// Sends a signal. Waits for the end of the process after SIGKILL.
    void signal(int number)
    {
        if (pid_ <= 0) {
            return;
        }
        ::kill(pid_, number);
        if (number == SIGKILL) {
            ::waitpid(pid_, nullptr, 0);
            pid_ = 0;
        }
    }

    /// Returns whether the process has ended by itself.
    bool has_ended()
    {
        if (pid_ <= 0) {
            return true;
        }
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = 0;
            return true;
        }
        return false;
    }

    [[nodiscard]] bool is_ready() const
    {
        auto it = connection::open(ready_);
        if (!it || !it->send("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")) {
            return false;
        }
        const auto answer = it->receive(seconds() + 1.0, true);
        return answer && answer->status() == 200;
    }

    [[nodiscard]] int front() const { return front_; }

    [[nodiscard]] pid_t pid() const { return pid_; }

    [[nodiscard]] const std::string& name() const { return name_; }

private:
    [[nodiscard]] std::string settings_path() const { return folder_ + "/" + name_ + ".json"; }

    std::string name_;
    std::string folder_;
    int store_port_;
    int front_;
    int ready_;
    int control_;
    int members_;
    int metrics_;
    pid_t pid_ = 0;
};

/// A folder for settings and logs that is removed at the end, and the gateways that run there.
class fleet {
public:
    fleet(std::size_t count, int store_port)
    {
        auto name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        folder_ = ::mkdtemp(name.data());
        for (std::size_t n = 0; n < count; ++n) {
            gateways_.push_back(
                std::make_unique<gateway>("edge-" + std::to_string(n + 1), folder_, store_port));
        }
        for (const auto& it : gateways_) {
            it->write_settings(gateways_);
        }
    }

    ~fleet()
    {
        gateways_.clear();
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(folder_);
        }
    }

    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Starts all gateways at once and waits until they are ready. Returns whether they are within 10 s.
    bool start()
    {
        for (const auto& it : gateways_) {
            it->start();
        }
        for (const auto until = seconds() + 10.0; seconds() < until; pause_for(0.05)) {
            if (std::ranges::all_of(gateways_, [](const auto& it) { return it->is_ready(); })) {
                return true;
            }
        }
        return false;
    }

    std::vector<std::unique_ptr<gateway>>& all() { return gateways_; }

    [[nodiscard]] const std::string& folder() const { return folder_; }

private:
    std::string folder_;
    std::vector<std::unique_ptr<gateway>> gateways_;
};

/// Returns the value of a variable of the environment, or `fallback`.
inline std::string setting(const char* name, const std::string& fallback)
{
    const auto* text = std::getenv(name);
    return text == nullptr ? fallback : text;
}

} // namespace review
