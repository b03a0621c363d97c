#include <hemlocknotch/standins/platform_store.hpp>

#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace hemlocknotch::standins {
namespace {

using nlohmann::json;
namespace base64 = boost::beast::detail::base64;

constexpr int ok = 200;
constexpr int not_found = 404;
constexpr int gone = 410;
constexpr int conflict = 412;
constexpr std::size_t page_size = 500;
/// Number of bytes of values after which a page ends.
constexpr std::size_t page_bytes = 1'000'000;

std::string to_base64(std::string_view bytes)
{
    std::string out(base64::encoded_size(bytes.size()), '\0');
    out.resize(base64::encode(out.data(), bytes.data(), bytes.size()));
    return out;
}

std::string from_base64(std::string_view text)
{
    std::string out(base64::decoded_size(text.size()), '\0');
    out.resize(base64::decode(out.data(), text.data(), text.size()).first);
    return out;
}

std::uint64_t last_number(std::string_view path)
{
    return std::stoull(std::string{path.substr(path.rfind('/') + 1)});
}

} // namespace

platform_store::platform_store(event_base* base, const endpoint_address& address)
    : base_{base}, server_{base, [this](const http_request& request) { on_request(request); }}
{
    server_.listen(address);
}

platform_store::~platform_store() = default;

void platform_store::put(const std::string& key, const std::string& value, std::uint64_t lease)
{
    written_since_copy_[key] = value;
    lost_.erase(key);
    write(key, value, lease);
}

void platform_store::remove(const std::string& key)
{
    written_since_copy_[key] = std::nullopt;
    lost_.erase(key);
    erase(key);
}

void platform_store::write(const std::string& key, const std::string& value, std::uint64_t lease)
{
    auto& it = items_[key];
    ++revision_;
    it.value = value;
    it.created = it.revision == 0 ? revision_ : it.created;
    it.revision = revision_;
    it.lease = lease;
    history_.push_back({revision_, key, false, it});
    answer_watches();
}

void platform_store::erase(const std::string& key)
{
    if (items_.erase(key) > 0) {
        history_.push_back({++revision_, key, true, {}});
        answer_watches();
    }
}

void platform_store::compact()
{
    history_.clear();
    compacted_ = ++revision_;
    answer_watches();
}

void platform_store::take_copy()
{
    copy_ = std::make_unique<copy>(copy{items_, history_, revision_, compacted_, lease_times_, last_lease_});
    written_since_copy_.clear();
}

void platform_store::restore()
{
    if (!copy_) {
        return;
    }
    ++era_;
    items_ = copy_->items;
    history_ = copy_->history;
    revision_ = copy_->revision;
    compacted_ = copy_->compacted;
    last_lease_ = copy_->last_lease;
    for (auto& [lease, it] : leases_) {
        it->stop();
    }
    leases_.clear();
    lease_times_.clear();
    for (const auto& [lease, ms] : copy_->lease_times) {
        start_lease(lease, ms);
    }
    lost_ = std::exchange(written_since_copy_, {});
    for (const auto& it : std::exchange(watches_, {})) {
        it->request.drop();
    }
}

void platform_store::rewrite_lost()
{
    for (const auto& [key, value] : std::exchange(lost_, {})) {
        value ? write(key, *value, 0) : erase(key);
    }
}

json platform_store::describe(const std::string& key, const item& value)
{
    return {{"key", key},
            {"value", to_base64(value.value)},
            {"revision", value.revision},
            {"created-rev", value.created},
            {"lease", value.lease}};
}

void platform_store::on_request(const http_request& request)
{
    if (faults.is_silent) {
        return;
    }
    request.add_answer_header("Store-Era", std::to_string(era_));
    if (faults.refuses_with != 0) {
        return request.reply(faults.refuses_with, "");
    }
    const auto path = request.path();
    if (path == "/v1/kv-range") {
        return on_range(request);
    }
    if (path == "/v1/kv-watch") {
        return on_watch(request);
    }
    if (path == "/v1/kv-txn") {
        return on_write(request);
    }
    on_lease(request);
}

void platform_store::on_range(const http_request& request) const
{
    const auto prefix = request.query("prefix").value_or("");
    const auto after = request.query("after").value_or("");
    auto found = json::array();
    bool has_more = false;
    std::size_t bytes = 0;
    for (const auto& [key, it] : items_) {
        if (!key.starts_with(prefix) || key <= after) {
            continue;
        }
        if (found.size() == page_size || bytes > page_bytes) {
            has_more = true;
            break;
        }
        bytes += it.value.size();
        found.push_back(describe(key, it));
    }
    request.reply_json(ok, {{"items", found}, {"has-more", has_more}, {"current-rev", revision_}});
}

void platform_store::on_watch(const http_request& request)
{
    const auto prefix = request.query("prefix").value_or("");
    const auto after = request.query_number("after").value_or(0);
    const auto wait = std::chrono::milliseconds{request.query_number("wait-ms").value_or(0)};
    if (answer_watch(request, prefix, after, false)) {
        return;
    }
    const auto number = ++last_watch_;
    auto made = std::make_unique<watch>(watch{number, request, prefix, after, nullptr});
    made->limit = std::make_unique<timer>(base_, [this, number] {
        const auto it = std::ranges::find(watches_, number, [](const auto& w) { return w->number; });
        const auto ended = std::move(*it);
        watches_.erase(it);
        answer_watch(ended->request, ended->prefix, ended->after, true);
    });
    made->limit->start(wait);
    watches_.push_back(std::move(made));
}

bool platform_store::answer_watch(const http_request& request, std::string_view prefix, std::uint64_t after,
                                  bool is_due) const
{
    if (after < compacted_ || after > revision_) {
        request.reply(gone, "");
        return true;
    }
    auto events = json::array();
    for (const auto& it : history_) {
        if (it.revision <= after || !it.key.starts_with(prefix)) {
            continue;
        }
        events.push_back(it.is_removed ? json{{"key", it.key}, {"revision", it.revision}, {"deleted", true}}
                                       : describe(it.key, it.written));
    }
    if (events.empty() && !is_due) {
        return false;
    }
    request.reply_json(ok, {{"events", events}, {"current-rev", revision_}});
    return true;
}

void platform_store::answer_watches()
{
    std::erase_if(watches_,
                  [&](const auto& it) { return answer_watch(it->request, it->prefix, it->after, false); });
}

void platform_store::on_write(const http_request& request)
{
    const auto body = json::parse(request.body());
    auto unmet = json::array();
    bool is_met = true;
    for (const auto& it : body.value("expect", json::array())) {
        const auto found = items_.find(it.at("key").get<std::string>());
        const auto revision = found == items_.end() ? 0 : found->second.revision;
        if (revision == it.at("revision").get<std::uint64_t>()) {
            continue;
        }
        is_met = false;
        if (found != items_.end()) {
            unmet.push_back(describe(found->first, found->second));
        }
    }
    if (!is_met) {
        return request.reply_json(conflict, {{"items", unmet}});
    }
    for (const auto& it : body.value("puts", json::array())) {
        const auto lease = it.value("lease", std::uint64_t{0});
        if (lease != 0 && !lease_times_.contains(lease)) {
            return request.reply(not_found, "");
        }
        write(it.at("key").get<std::string>(), from_base64(it.at("value").get<std::string>()), lease);
    }
    for (const auto& it : body.value("remove", json::array())) {
        erase(it.get<std::string>());
    }
    if (faults.loses_write_answers) {
        return request.drop();
    }
    request.reply_json(ok, {{"revision", revision_}});
}

void platform_store::on_lease(const http_request& request)
{
    const auto path = request.path();
    if (path == "/v1/kv-lease") {
        const auto ms = json::parse(request.body()).at("ttl-ms").get<std::uint64_t>();
        const auto lease = ++last_lease_;
        start_lease(lease, ms);
        return request.reply_json(ok, {{"lease", lease}, {"ttl-ms", ms}});
    }
    const auto is_keep = path.starts_with("/v1/kv-keep/");
    if (!is_keep && !path.starts_with("/v1/kv-lease-end/")) {
        return request.reply(not_found, "");
    }
    const auto lease = last_number(path);
    if (!lease_times_.contains(lease)) {
        return request.reply(not_found, "");
    }
    if (is_keep) {
        leases_[lease]->start(std::chrono::milliseconds{lease_times_[lease]});
    }
    else {
        end_lease(lease);
    }
    request.reply_json(ok, {{"ttl-ms", is_keep ? lease_times_[lease] : 0}});
}

void platform_store::start_lease(std::uint64_t lease, std::uint64_t time_to_live_ms)
{
    lease_times_[lease] = time_to_live_ms;
    leases_[lease] = std::make_unique<timer>(base_, [this, lease] { end_lease(lease); });
    leases_[lease]->start(std::chrono::milliseconds{time_to_live_ms});
}

void platform_store::end_lease(std::uint64_t lease)
{
    std::vector<std::string> keys;
    for (const auto& [key, it] : items_) {
        if (it.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const auto& it : keys) {
        erase(it);
    }
    if (const auto it = leases_.find(lease); it != leases_.end()) {
        it->second->stop();
        // The timer may be the caller of this function, so that it is kept until the lease's next use.
        lease_times_.erase(lease);
    }
}

} // namespace hemlocknotch::standins
