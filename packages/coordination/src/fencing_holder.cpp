#include <hemlocknotch/coordination/fencing_holder.hpp>

#include <nlohmann/json.hpp>

#include <cassert>
#include <utility>

namespace hemlocknotch {
namespace {

using nlohmann::json;

constexpr std::uint64_t no_lease = 0;

} // namespace

/// Lives as long as the holder; callbacks that come later find it gone.
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
        read(state_, state_->now());
    }
}

void fencing_holder::read(const std::shared_ptr<state>& self, instant asked)
{
    self->store.get(self->key, [weak = std::weak_ptr{self}, asked](const store_answer& answer) {
        const auto it = weak.lock();
        if (!it) {
            return;
        }
        const auto record =
            answer.status == store_status::ok ? read_fencing_record(answer.value) : std::nullopt;
        if (record && record->holder == it->self) {
            // An earlier write whose answer was lost has taken effect. The lease counts from before the read;
            // who held the number before is not known any more.
            it->held = *record;
            it->held_version = answer.version;
            it->gate.on_acquired(record->number, asked, it->now(), true);
            it->is_running = false;
        }
        else if (record || answer.status == store_status::absent) {
            take(it, answer);
        }
        else {
            it->is_running = false;
        }
    });
}

void fencing_holder::take(const std::shared_ptr<state>& self, const store_answer& current)
{
    const auto record = read_fencing_record(current.value);
    const fencing_record next{(record ? record->number : 0) + 1, self->self};
    const bool has_predecessor = record.has_value();
    const instant asked = self->now();
    self->store.compare_and_swap(
        self->key, current.version, write_fencing_record(next), no_lease,
        [weak = std::weak_ptr{self}, next, asked, has_predecessor](const store_answer& answer) {
            const auto it = weak.lock();
            if (!it) {
                return;
            }
            it->is_running = false;
            if (answer.status == store_status::ok) {
                it->held = next;
                it->held_version = answer.version;
                it->gate.on_acquired(next.number, asked, it->now(), has_predecessor);
            }
        });
}

void fencing_holder::renew(const std::shared_ptr<state>& self)
{
    const instant asked = self->now();
    self->store.compare_and_swap(self->key, self->held_version, write_fencing_record(self->held), no_lease,
                                 [weak = std::weak_ptr{self}, asked](const store_answer& answer) {
                                     const auto it = weak.lock();
                                     if (!it) {
                                         return;
                                     }
                                     it->is_running = false;
                                     if (answer.status == store_status::ok) {
                                         it->held_version = answer.version;
                                         it->gate.on_renewed(asked);
                                         return;
                                     }
                                     const bool is_moved = answer.status == store_status::conflict ||
                                                           answer.status == store_status::absent;
                                     const auto record =
                                         is_moved ? read_fencing_record(answer.value) : std::nullopt;
                                     if (record && *record == it->held) {
                                         // An earlier renewal whose answer was lost has taken effect, and the
                                         // number is still held.
                                         it->held_version = answer.version;
                                         it->gate.on_renewed(asked);
                                     }
                                     else if (is_moved) {
                                         it->held_version = 0;
                                         it->gate.on_lost();
                                     }
                                 });
}

} // namespace hemlocknotch
