#include <hemlocknotch/coordination/fencing_holder.hpp>

#include <nlohmann/json.hpp>

#include <cassert>
#include <utility>

namespace hemlocknotch {
namespace {

using nlohmann::json;

constexpr std::uint64_t no_lease = 0;

} // namespace

/// Owned by the holder alone. Callbacks hold a weak pointer, so that one that runs after the holder was
/// destroyed does nothing.
struct fencing_holder::state {
    key_value_service& store;
    std::string key;
    process_identity self;
    fencing_gate gate;
    clock now;
    /// Version of the record that this process wrote; 0 while it holds no number.
    std::uint64_t held_version = 0;
    fencing_record held{};
    bool is_running = false;
};

std::string fencing_key(std::string_view endpoint)
{
    return "hemlocknotch/fencing/" + std::string{endpoint};
}

std::string write_fencing_record(const fencing_record& value)
{
    return json{
        {"number", value.number}, {"holder", value.holder.name}, {"incarnation", value.holder.incarnation}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<fencing_record> read_fencing_record(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    const auto number = value.find("number");
    const auto holder = value.find("holder");
    const auto incarnation = value.find("incarnation");
    if (number == value.end() || !number->is_number_unsigned() || holder == value.end() ||
        !holder->is_string() || incarnation == value.end() || !incarnation->is_number_unsigned()) {
        return std::nullopt;
    }
    return fencing_record{number->get<std::uint64_t>(),
                          {holder->get<std::string>(), incarnation->get<std::uint64_t>()}};
}

fencing_holder::fencing_holder(key_value_service& store, std::string_view endpoint, process_identity self,
                               fencing_check check, duration lease, clock now)
    : state_{std::make_shared<state>(
          state{store, fencing_key(endpoint), std::move(self), fencing_gate{check, lease}, std::move(now)})}
{
}

fencing_holder::~fencing_holder() = default;

std::optional<fencing_token> fencing_holder::token() const
{
    return state_->gate.token(state_->now());
}

void fencing_holder::refresh()
{
    if (std::exchange(state_->is_running, true)) {
        return;
    }
    if (state_->held_version != 0) {
        renew(state_);
    }
    else {
        read_record(state_, state_->now());
    }
}

void fencing_holder::read_record(const std::shared_ptr<state>& self, instant requested_at)
{
    self->store.get(self->key, [weak = std::weak_ptr{self}, requested_at](const store_answer& answer) {
        const auto it = weak.lock();
        if (!it) {
            return;
        }
        const auto record =
            answer.status == store_status::ok ? read_fencing_record(answer.value) : std::nullopt;
        if (record && record->holder == it->self) {
            // An earlier write took effect although its answer was lost. The lease is counted from before the
            // read. The previous holder is no longer known, so one is assumed.
            it->held = *record;
            it->held_version = answer.version;
            it->gate.on_acquired(record->number, requested_at, it->now(), true);
            it->is_running = false;
        }
        else if (record || answer.status == store_status::absent) {
            acquire(it, answer);
        }
        else {
            it->is_running = false;
        }
    });
}

void fencing_holder::acquire(const std::shared_ptr<state>& self, const store_answer& current)
{
    const auto record = read_fencing_record(current.value);
    const fencing_record next{(record ? record->number : 0) + 1, self->self};
    const bool has_predecessor = record.has_value();
    const instant requested_at = self->now();
    self->store.compare_and_swap(
        self->key, current.version, write_fencing_record(next), no_lease,
        [weak = std::weak_ptr{self}, next, requested_at, has_predecessor](const store_answer& answer) {
            const auto it = weak.lock();
            if (!it) {
                return;
            }
            it->is_running = false;
            if (answer.status == store_status::ok) {
                it->held = next;
                it->held_version = answer.version;
                it->gate.on_acquired(next.number, requested_at, it->now(), has_predecessor);
            }
        });
}

void fencing_holder::renew(const std::shared_ptr<state>& self)
{
    const instant requested_at = self->now();
    self->store.compare_and_swap(self->key, self->held_version, write_fencing_record(self->held), no_lease,
                                 [weak = std::weak_ptr{self}, requested_at](const store_answer& answer) {
                                     const auto it = weak.lock();
                                     if (!it) {
                                         return;
                                     }
                                     it->is_running = false;
                                     if (answer.status == store_status::ok) {
                                         it->held_version = answer.version;
                                         it->gate.on_renewed(requested_at);
                                         return;
                                     }
                                     const bool is_changed = answer.status == store_status::conflict ||
                                                             answer.status == store_status::absent;
                                     const auto record =
                                         is_changed ? read_fencing_record(answer.value) : std::nullopt;
                                     if (record && *record == it->held) {
                                         // An earlier renewal took effect although its answer was lost, so
                                         // this process still holds the number.
                                         it->held_version = answer.version;
                                         it->gate.on_renewed(requested_at);
                                     }
                                     else if (is_changed) {
                                         it->held_version = 0;
                                         it->gate.on_lost();
                                     }
                                 });
}

} // namespace hemlocknotch
