#include "claim_client.hpp"

#include <nlohmann/json.hpp>

#include <cassert>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

constexpr std::string_view path_start = "hemlocknotch/claims/";
constexpr std::string_view claimed_state = "claimed";

bool is_plain(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

/// Writes every other character as `~` and two hexadecimal digits: a URL path takes it unchanged.
std::string escaped(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned high_half = 4;
    std::string out;
    for (const char c : text) {
        if (is_plain(c)) {
            out += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        out += '~';
        out += digits[byte >> high_half];
        out += digits[byte & 0xfU];
    }
    return out;
}

} // namespace

std::string claim_path(std::string_view client_account, std::string_view idempotency_key)
{
    return std::string{path_start} + escaped(client_account) + "/" + escaped(idempotency_key);
}

std::string write_claim(const claim_record& record)
{
    return nlohmann::json{{"request_id", record.request_id}, {"state", record.state}}.dump();
}

std::optional<claim_record> read_claim(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("request_id") || !json["request_id"].is_string() ||
        !json.contains("state") || !json["state"].is_string()) {
        return std::nullopt;
    }
    return claim_record{json["request_id"].get<std::string>(), json["state"].get<std::string>()};
}

/// One claim or settlement under way.
class claim_client::operation {
public:
    operation(event_base* base, std::uint64_t number_now, const request_id& id_now, std::string path_now)
        : number{number_now}, id{id_now}, path{std::move(path_now)}, delay{base, [this] { next_step(); }}
    {
    }

    /// Returns whether `answer` carries this request's own claim.
    [[nodiscard]] bool is_own(const store_answer& answer) const
    {
        const auto record = read_claim(answer.value);
        return record && record->request_id == id.to_string();
    }

    std::uint64_t number;
    request_id id;
    std::string path;
    verdict outcome = verdict::not_run;
    std::uint32_t tries = 0;
    std::function<void()> next_step;
    timer delay;
};

claim_client::claim_client(event_base* base, key_value_service& store, const claim_options& options,
                           callback done)
    : base_{base}, store_{store}, options_{options}, done_{std::move(done)}, clean_up_{base, [this] {
                                                                                           ended_.clear();
                                                                                       }}
{
    assert(done_);
    assert(options_.max_tries > 0);
}

claim_client::~claim_client() = default;

void claim_client::claim(const claim_key_effect& wanted)
{
    auto& it = start(wanted.id, claim_path(wanted.client_account, wanted.key));
    if (operations_.size() > options_.max_pending) {
        // Nothing was written, so that nothing needs to be released.
        it.next_step = [this, &it] {
            done_({it.id, claim_outcome::unavailable});
            finish(it);
        };
        it.delay.activate();
        return;
    }
    try_claim(it);
}

void claim_client::settle(const settle_claim_effect& ended)
{
    auto& it = start(ended.id, claim_path(ended.client_account, ended.key));
    it.outcome = ended.outcome;
    try_settle(it);
}

claim_client::operation& claim_client::start(const request_id& id, std::string path)
{
    const auto number = ++last_number_;
    auto it = std::make_unique<operation>(base_, number, id, std::move(path));
    return *operations_.emplace(number, std::move(it)).first->second;
}

void claim_client::try_claim(operation& it)
{
    ++it.tries;
    store_.compare_and_swap(it.path, 0, write_claim({it.id.to_string(), std::string{claimed_state}}), 0,
                            [this, &it](const store_answer& answer) { on_claim_answer(it, answer); });
}

void claim_client::on_claim_answer(operation& it, const store_answer& answer)
{
    switch (answer.status) {
    case store_status::ok:
        end_claim(it, claim_outcome::won);
        return;
    case store_status::conflict:
        // An earlier write of this claim may have taken effect although its answer was lost.
        end_claim(it, it.is_own(answer) ? claim_outcome::won : claim_outcome::held_by_other);
        return;
    case store_status::absent:
    case store_status::refused:
    case store_status::unknown:
        if (!retry(it, &claim_client::try_claim)) {
            done_({it.id, claim_outcome::unavailable});
            release(it);
        }
        return;
    }
}

void claim_client::end_claim(operation& it, claim_outcome outcome)
{
    done_({it.id, outcome});
    finish(it);
}

void claim_client::release(operation& it)
{
    it.outcome = verdict::not_run;
    it.tries = 0;
    retry(it, &claim_client::try_settle);
}

void claim_client::try_settle(operation& it)
{
    ++it.tries;
    store_.get(it.path, [this, &it](const store_answer& found) {
        if (found.status == store_status::ok && it.is_own(found)) {
            auto done = [this, &it](const store_answer& answer) { on_settle_answer(it, answer); };
            if (it.outcome == verdict::not_run) {
                store_.remove(it.path, found.version, std::move(done));
                return;
            }
            const claim_record record{it.id.to_string(), std::string{to_string(it.outcome)}};
            store_.compare_and_swap(it.path, found.version, write_claim(record), 0, std::move(done));
            return;
        }
        const auto is_settled = found.status == store_status::ok || found.status == store_status::absent;
        if (is_settled || !retry(it, &claim_client::try_settle)) {
            finish(it);
        }
    });
}

void claim_client::on_settle_answer(operation& it, const store_answer& answer)
{
    const auto is_settled = answer.status == store_status::ok || answer.status == store_status::absent;
    if (is_settled || !retry(it, &claim_client::try_settle)) {
        finish(it);
    }
}

bool claim_client::retry(operation& it, void (claim_client::*step)(operation&))
{
    if (it.tries >= options_.max_tries) {
        return false;
    }
    it.next_step = [this, &it, step] { (this->*step)(it); };
    it.delay.start(options_.retry_delay * (it.tries + 1));
    return true;
}

void claim_client::finish(operation& it)
{
    const auto found = operations_.find(it.number);
    assert(found != operations_.end());
    ended_.push_back(std::move(found->second));
    operations_.erase(found);
    clean_up_.activate();
}

} // namespace hemlocknotch::daemon
