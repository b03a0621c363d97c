#include <hemlocknotch/standins/expected_answer.hpp>
#include <hemlocknotch/standins/load_request.hpp>

#include <nlohmann/json.hpp>

namespace hemlocknotch::standins {
namespace {

std::string prompt_of(const trace_record& record)
{
    std::string prompt = record.prefix;
    if (prompt.size() < record.size) {
        prompt.append(record.size - prompt.size(), 'x');
    }
    return prompt;
}

std::vector<std::pair<std::string, std::string>> headers_of(const trace_record& record)
{
    std::vector<std::pair<std::string, std::string>> headers{{"Hemlocknotch-Account", record.account},
                                                             {"Hemlocknotch-Profile", record.profile},
                                                             {"Content-Type", "application/json"}};
    if (record.cost_hint) {
        headers.emplace_back("Hemlocknotch-Cost-Hint", std::to_string(*record.cost_hint));
    }
    if (!record.key.empty()) {
        headers.emplace_back("Idempotency-Key", record.key);
    }
    if (!record.prefix.empty()) {
        headers.emplace_back("Hemlocknotch-Prefix", record.prefix);
    }
    return headers;
}

} // namespace

load_request make_load_request(const trace_record& record, std::uint64_t number, bool is_model)
{
    const std::string name = "r-" + std::to_string(number);
    nlohmann::json body{{"request", name}, {"prompt", prompt_of(record)}};
    load_request made;
    made.call.method = "POST";
    made.call.headers = headers_of(record);
    if (is_model) {
        const auto tokens = static_cast<std::uint64_t>(record.true_cost);
        body["max_tokens"] = tokens;
        body["prefix"] = record.prefix;
        made.call.target = "/v1/generate";
        made.call.body = body.dump();
        made.expected = expected_engine_answer(made.call.body, tokens);
        return made;
    }
    if (!record.is_idempotent) {
        made.booking = name;
        body["booking"] = name;
    }
    made.call.target = "/" + record.profile + "/" + name;
    made.call.body = body.dump();
    made.expected = expected_plain_answer("POST", made.call.target, made.call.body);
    return made;
}

} // namespace hemlocknotch::standins
