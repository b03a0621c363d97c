#include <hemlocknotch/standins/gateway_soak.hpp>
#include <hemlocknotch/standins/loopback_block.hpp>
#include <hemlocknotch/standins/platform_configuration.hpp>

#include "gateway_soak_caller.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <string_view>
#include <utility>

namespace hemlocknotch::standins {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const endpoint_address any_port = *endpoint_address::parse("127.0.0.1:0");
constexpr duration step_interval = milliseconds{20};
/// A gateway is in touch when it has run for this time without a disturbance.
constexpr duration contact_time = seconds{3};
/// Longest time for a start, for healing, and for the end of the processes.
constexpr duration stage_limit = seconds{30};
constexpr duration caller_timeout = seconds{4};
/// One of so many requests may take longer than a planned stop.
constexpr int requests_per_patient_one = 4;
constexpr duration request_pause = milliseconds{30};
/// One of so many requests is the one that crashes the endpoints of the plain service, where there is one.
constexpr int requests_per_crash = 20;
/// Interval at which endpoints write their registrations.
constexpr duration heartbeat_interval = seconds{1};
constexpr int status_ok = 200;
constexpr int status_server_error = 500;

std::string host_of(int number)
{
    static const loopback_block block;
    return block.host(number);
}

std::string whole_stream()
{
    std::string out;
    for (std::size_t n = 1; n <= platform_endpoint::stream_events; ++n) {
        out += "id: " + std::to_string(n) + "\ndata: x\n\n";
    }
    return out;
}

std::size_t count_of(const std::string& text, const std::string& word)
{
    std::size_t out = 0;
    for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) {
        ++out;
    }
    return out;
}

} // namespace

gateway_soak::gateway_soak(const soak_options& options, const soak_paths& paths)
    : options_{options},
      random_{static_cast<std::minstd_rand::result_type>(options.seed)},
      further_random_{static_cast<std::minstd_rand::result_type>(options.seed + 1)},
      announcement_random_{static_cast<std::minstd_rand::result_type>(options.seed + 2)},
      ending_random_{static_cast<std::minstd_rand::result_type>(options.seed + 3)},
      failing_random_{static_cast<std::minstd_rand::result_type>(options.seed + 4)},
      repeated_random_{static_cast<std::minstd_rand::result_type>(options.seed + 5)},
      odd_entry_random_{static_cast<std::minstd_rand::result_type>(options.seed + 6)},
      reset_random_{static_cast<std::minstd_rand::result_type>(options.seed + 7)},
      rollout_random_{static_cast<std::minstd_rand::result_type>(options.seed + 8)},
      store_{loop_.base(), any_port},
      record_{options.bound},
      endless_model_{loop_.base(), any_port, "X-Request-Id"},
      endless_plain_{loop_.base(), any_port, "X-Request-Id"},
      repeating_model_{loop_.base(), any_port, [this](const auto& it) { return answer_twice(it); }},
      repeating_plain_{loop_.base(), any_port, [this](const auto& it) { return answer_twice(it); }},
      mute_{loop_.base(), any_port, [](const auto& /*request*/) { return scripted_answer{}; }},
      unnamed_endpoint_{loop_.base(), any_port, "unnamed"},
      step_{loop_.base(), [this] { advance(); }}
{
    for (const auto* instance : {"m1", "m2", "p1", "p2", "p3"}) {
        endpoints_.push_back(
            std::make_unique<soak_endpoint>(loop_.base(), instance, instance[0] == 'm' ? "model" : "plain"));
        register_endpoint(*endpoints_.back());
    }
    for (const auto& it : endpoints_) {
        it->endpoint().arrived = [this, endpoint = it.get()](const std::string& id) {
            record_.check_arrival(id, endpoint->start_name());
        };
        it->endpoint().failed = [this](const std::string& id, const std::string& body) {
            record_.note_failure(id, status_server_error, body);
        };
    }
    unnamed_endpoint_.arrived = [this](const std::string& id) {
        record_.add_violation(id + " was sent to the address of an odd entry");
    };
    for (const auto* instance : {"n1", "n2"}) {
        new_endpoints_.push_back(std::make_unique<platform_endpoint>(loop_.base(), any_port, instance));
    }
    plan_rollout();
    if (draw_ending(2) == 0) {
        add_crashing_request();
    }
    store_.put("op/config", create_platform_configuration(version_, true, 0, patient_timeout));
    record_.note_configuration(has_second_key_, now());
    const std::vector<std::string> seeds{soak_gateway::registry_page_at(host_of(1)),
                                         soak_gateway::registry_page_at(host_of(2))};
    for (int n = 1; n <= options_.gateways; ++n) {
        gateways_.push_back(
            std::make_unique<soak_gateway>(loop_.base(), paths, n, host_of(n), seeds, store_.address()));
        gateways_.back()->start();
        for (int k = 0; k < options_.callers; ++k) {
            callers_.push_back(std::make_unique<caller_state>(*this, *gateways_.back(), k % 2 == 0));
            callers_.back()->pause.start(request_pause);
        }
    }
}

gateway_soak::~gateway_soak() = default;

const std::vector<std::string>& gateway_soak::run()
{
    enter(stage::starting);
    step_.start(step_interval);
    loop_.run();
    return record_.violations();
}

int gateway_soak::draw(int n)
{
    return std::uniform_int_distribution<int>{0, n - 1}(random_);
}

int gateway_soak::draw_further(int n)
{
    return std::uniform_int_distribution<int>{0, n - 1}(further_random_);
}

int gateway_soak::draw_announcement(int n)
{
    return std::uniform_int_distribution<int>{0, n - 1}(announcement_random_);
}

int gateway_soak::draw_ending(int n)
{
    return std::uniform_int_distribution<int>{0, n - 1}(ending_random_);
}

soak_gateway& gateway_soak::draw_gateway()
{
    return *gateways_[static_cast<std::size_t>(draw(options_.gateways))];
}

void gateway_soak::enter(stage next)
{
    stage_ = next;
    stage_began_at_ = now();
    for (const auto& it : callers_) {
        it->has_served_since_healing = false;
    }
}

void gateway_soak::advance()
{
    const auto passed = now() - stage_began_at_;
    const auto is_late = passed > stage_limit;
    if (stage_ != stage::stopping) {
        restart_ended();
    }
    write_heartbeats();
    switch (stage_) {
    case stage::starting:
        if (is_late) {
            record_.add_violation("the gateways do not serve after their start");
        }
        if (is_late || is_every_gateway_back()) {
            enter(stage::faulty);
        }
        break;
    case stage::faulty:
        inject_faults();
        order_rollout();
        if (passed > options_.faults_for) {
            heal();
            enter(stage::healing);
        }
        break;
    case stage::healing:
        if (is_late) {
            record_.add_violation("not every gateway serves and is registered after all faults have ended");
        }
        if (is_late || is_every_gateway_back()) {
            enter(stage::stopping);
            for (const auto& it : gateways_) {
                it->stop();
            }
        }
        break;
    case stage::stopping:
        if (is_late) {
            record_.add_violation("not every gateway ends after SIGTERM");
        }
        if (is_late || std::ranges::none_of(gateways_, [](const auto& it) { return it->is_running(); })) {
            enter(stage::checking);
        }
        break;
    case stage::checking:
        check_exit_codes();
        check_logs();
        check_executions();
        check_rollout();
        enter(stage::done);
        return loop_.stop();
    case stage::done:
        return;
    }
    step_.start(step_interval);
}

void gateway_soak::restart_ended()
{
    for (const auto& it : gateways_) {
        if (!it->is_running()) {
            record_.forget_leaving(it->name());
            it->start();
        }
    }
}

bool gateway_soak::is_every_gateway_back() const
{
    return std::ranges::all_of(callers_, [](const auto& it) { return it->has_served_since_healing; }) &&
           std::ranges::all_of(gateways_, [this](const auto& it) {
               return store_.contains("hemlocknotch/gateways/" + it->name());
           });
}

void gateway_soak::write_heartbeats()
{
    if (now() - heartbeats_at_ < heartbeat_interval || store_.faults.is_silent ||
        store_.faults.refuses_with != 0) {
        return;
    }
    heartbeats_at_ = now();
    for (const auto& it : endpoints_) {
        register_endpoint(*it);
    }
    register_new_version();
}

void gateway_soak::register_endpoint(const soak_endpoint& it)
{
    store_.put(it.key(), it.registration());
}

bool gateway_soak::is_in_touch(soak_gateway& it) const
{
    // A gateway that cannot reach the store learns from another one, if that one is not disturbed.
    const auto since = now() - contact_time;
    return it.is_undisturbed_since(since) && store_disturbed_at_ < since && store_.faults.refuses_with == 0 &&
           !store_.faults.is_silent;
}

void gateway_soak::send_request(caller_state& it)
{
    if (stage_ == stage::checking || stage_ == stage::done) {
        return;
    }
    const auto is_crashing =
        crashing_kind_ && stage_ == stage::faulty && draw_ending(requests_per_crash) == 0;
    soak_request request;
    request.kind = is_crashing ? *crashing_kind_ : static_cast<soak_request_kind>(draw(3));
    request.gateway = it.gateway.name();
    request.has_second_key = draw(3) == 0 && stage_ == stage::faulty && !is_crashing;
    request.sent_at = now();
    request.is_gateway_in_touch = is_in_touch(it.gateway);
    request.is_gateway_undisturbed = it.gateway.is_undisturbed_since(now() - contact_time);
    it.id = record_.add(request);
    it.sent_at = request.sent_at;
    const auto is_stream = request.kind == soak_request_kind::stream;
    const auto* target = is_stream                                   ? "/stream/x"
                         : request.kind == soak_request_kind::unsafe ? "/unsafe/x"
                                                                     : "/safe/x";
    const auto body = is_crashing ? std::string{crashing_body} : "body of " + it.id;
    it.expected_body = is_stream ? whole_stream() : body;
    const auto timeout = draw_reset(requests_per_patient_one) == 0 ? patient_timeout : caller_timeout;
    send_bytes(it,
               "POST " + std::string{target} + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + it.id +
                   "\r\nX-Deadline-Ms: " +
                   std::to_string(std::chrono::duration_cast<milliseconds>(timeout).count()) +
                   "\r\nX-Credential: " + (request.has_second_key ? "key-2" : "key-1") +
                   "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
               timeout + seconds{1});
}

void gateway_soak::handle_answer(caller_state& it, const kept_connection_answer& answer)
{
    it.rest_timer.stop();
    if (answer.is_malformed) {
        record_.add_violation(it.id + " at " + it.gateway.name() + ": no HTTP answer: '" + answer.received +
                              "'");
    }
    else if (answer.status != 0) {
        record_.check_answer(it.id, answer.status, answer.body, it.expected_body);
    }
    record_.check_partial_body(it.id, answer.partial_body, it.expected_body);
    check_cut(it, answer);
    if (!answer.unsolicited.empty()) {
        record_.add_violation(it.id + " at " + it.gateway.name() + ": bytes that no request asked for: '" +
                              answer.unsolicited + "'");
    }
    note_leaving(it.gateway.name(), answer.head);
    it.has_served_since_healing = it.has_served_since_healing || answer.status == status_ok;
    it.pause.start(request_pause);
}

void gateway_soak::note_leaving(const std::string& gateway, const std::string& head)
{
    constexpr std::string_view name = "from-endpoint: ";
    const auto position = head.find(name);
    if (position != std::string::npos && head.find("server-leaving: 1") != std::string::npos) {
        const auto begin = position + name.size();
        record_.note_leaving(gateway, head.substr(begin, head.find("\r\n", begin) - begin), now());
    }
}

void gateway_soak::check_exit_codes()
{
    for (const auto& it : gateways_) {
        if (!it->is_running() && it->exit_code() != 0) {
            record_.add_violation(it->name() + " ended with exit code " + std::to_string(it->exit_code()));
        }
    }
}

void gateway_soak::check_logs()
{
    for (const auto& it : gateways_) {
        std::ifstream file{it->log_path()};
        const std::string text{std::istreambuf_iterator<char>{file}, {}};
        if (count_of(text, "\"registry-back\"") > count_of(text, "\"registry-lost\"")) {
            record_.add_violation(it->name() + ": a line registry-back without its registry-lost");
        }
    }
}

void gateway_soak::check_executions()
{
    std::map<std::string, unsigned> total;
    for (const auto& it : endpoints_) {
        for (const auto& [id, n] : it->endpoint().executions) {
            total[id] += n;
        }
    }
    for (const auto& it : new_endpoints_) {
        for (const auto& [id, n] : it->executions) {
            total[id] += n;
        }
    }
    for (const auto* it : {&endless_model_, &endless_plain_}) {
        for (const auto& [id, n] : it->executions) {
            total[id] += n;
        }
    }
    for (const auto* it : {&repeating_model_, &repeating_plain_, &mute_}) {
        for (const auto& [id, n] : it->executions) {
            total[id] += n;
        }
    }
    record_.check_executions(total);
}

} // namespace hemlocknotch::standins
