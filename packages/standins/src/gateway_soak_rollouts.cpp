#include <hemlocknotch/standins/gateway_soak.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace hemlocknotch::standins {
namespace {

using std::chrono::milliseconds;

const std::string order_key = "op/rollout/plain";
const std::string state_key = "status/rollout/plain";
constexpr std::string_view new_version = "v2";
/// Share of the requests that a bad version may get, and requests beyond it.
constexpr double exposure_share = 0.1;
constexpr double exposure_slack = 50.0;

} // namespace

int gateway_soak::draw_rollout(int n)
{
    return std::uniform_int_distribution<int>{0, n - 1}(rollout_random_);
}

void gateway_soak::plan_rollout()
{
    // None, a good version, or one of which each second answer fails or none comes.
    const auto kind = draw_rollout(4);
    const auto faults_ms = std::chrono::duration_cast<milliseconds>(options_.faults_for).count();
    rollout_at_ =
        kind == 0 ? duration::max() : milliseconds{draw_rollout(static_cast<int>(faults_ms / 4) + 1)};
    is_new_version_bad_ = kind >= 2;
    for (const auto& it : new_endpoints_) {
        it->version = new_version;
        it->faults.fails_each = kind == 2 ? 2 : 0;
        it->faults.loses_answers = kind == 3;
        it->arrived = [this, endpoint = it.get()](const std::string& id) {
            record_.check_arrival(id, endpoint->instance());
        };
        it->failed = [this](const std::string& id, const std::string& body) {
            constexpr int server_error = 500;
            record_.note_failure(id, server_error, body);
        };
    }
}

void gateway_soak::order_rollout()
{
    if (is_rollout_ordered_ || now() - stage_began_at_ < rollout_at_) {
        return;
    }
    is_rollout_ordered_ = true;
    ++fault_count_;
    requests_before_rollout_ = plain_requests();
    const std::chrono::duration<double> time_limit = options_.faults_for;
    store_.put(
        order_key,
        nlohmann::json{{"backend", "plain"}, {"to", new_version}, {"duration-s", time_limit.count()}}.dump());
    register_new_version();
}

void gateway_soak::register_new_version()
{
    if (is_rollout_ordered_) {
        for (const auto& it : new_endpoints_) {
            store_.put("servers/" + it->instance(), it->registration("plain"));
        }
    }
}

std::uint64_t gateway_soak::plain_requests() const
{
    std::uint64_t out = 0;
    for (const auto& it : endpoints_) {
        out += it->endpoint().instance().starts_with('p') ? it->endpoint().requests : 0;
    }
    return out;
}

void gateway_soak::check_rollout()
{
    if (!is_rollout_ordered_ || !is_new_version_bad_) {
        return;
    }
    std::uint64_t exposed = 0;
    for (const auto& it : new_endpoints_) {
        exposed += it->requests;
    }
    const auto all = exposed + plain_requests() - requests_before_rollout_;
    if (static_cast<double>(exposed) > exposure_share * static_cast<double>(all) + exposure_slack) {
        record_.add_violation("a bad version got " + std::to_string(exposed) + " of " + std::to_string(all) +
                              " requests");
    }
    if (store_.value_of(state_key).find("completed") != std::string::npos) {
        record_.add_violation("a bad version was completed");
    }
}

} // namespace hemlocknotch::standins
