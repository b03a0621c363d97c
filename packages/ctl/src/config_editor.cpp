#include <hemlocknotch/ctl/config_editor.hpp>
#include <hemlocknotch/ctl/document_editor.hpp>

#include "envelope_writer.hpp"
#include "store_reader.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hemlocknotch {
namespace {

/// Number of races that a change of what is out of service may lose before it is given up.
constexpr std::uint32_t max_races = 20;

/// What all edits share while they run.
struct edit_context {
    key_value_service& store;
    edit_environment& environment;
    std::string author;
    config_editor::edit_callback done;
};

edit_result unreadable(const current_configuration& current)
{
    edit_result result;
    result.status = edit_status::unavailable;
    if (current.status == store_status::refused) {
        result.detail = "The key-value service is over its rate limit. Nothing was changed.";
    }
    else if (current.version != 0) {
        result.detail = "What stands at hemlocknotch/configuration is no configuration. Nothing was changed. "
                        "Replace it with hemlocknotchctl apply FILE --revision-above REVISION.";
    }
    else {
        result.detail = "The configuration in force could not be read. Nothing was changed.";
    }
    return result;
}

bool is_readable(const current_configuration& current)
{
    return current.status == store_status::ok || current.status == store_status::absent;
}

configuration_ptr parse(const configuration_envelope& envelope)
{
    return read_configuration(envelope.document, envelope.revision).accepted;
}

configuration_envelope successor(const configuration_envelope& base, std::uint64_t revision_above,
                                 const edit_context& context)
{
    configuration_envelope next;
    next.revision = std::max(base.revision, revision_above) + 1;
    next.author = context.author;
    next.applied_at = context.environment.now_utc();
    next.change = context.environment.new_change();
    if (!base.change.empty()) {
        next.previous_changes.push_back(base.change);
    }
    for (const std::string& it : base.previous_changes) {
        if (next.previous_changes.size() < retained_changes) {
            next.previous_changes.push_back(it);
        }
    }
    return next;
}

/// Keeps `base` in the history before its successor is written. Nothing depends on its success.
void keep_in_history(key_value_service& store, const current_configuration& base, std::function<void()> next)
{
    if (base.status != store_status::ok) {
        next();
        return;
    }
    constexpr std::uint64_t must_be_absent = 0;
    constexpr std::uint64_t no_lease = 0;
    store.compare_and_swap(history_key(base.envelope.revision), must_be_absent, write_envelope(base.envelope),
                           no_lease, [next = std::move(next)](const store_answer&) { next(); });
}

/// Removes the oldest kept revision once `revision` is in force. Nothing depends on its success.
void trim_history(key_value_service& store, std::uint64_t revision)
{
    if (revision <= retained_revisions) {
        return;
    }
    const std::string key = history_key(revision - retained_revisions);
    store.get(key, [&store, key](const store_answer& answer) {
        if (answer.status == store_status::ok) {
            store.remove(key, answer.version, [](const store_answer&) {});
        }
    });
}

edit_result result_of(const write_result& written, const configuration_envelope& base,
                      const configuration_envelope& envelope)
{
    const configuration_ptr wanted = parse(envelope);
    edit_result result;
    result.revision = base.revision;
    switch (written.status) {
    case store_status::ok:
        result.status = edit_status::applied;
        result.revision = envelope.revision;
        result.differences = compare_configurations(parse(base), wanted);
        result.detail = "The configuration was accepted.";
        return result;
    case store_status::conflict:
        result.status = edit_status::conflict;
        result.winner = written.winner;
        result.differences =
            compare_configurations(written.winner ? parse(*written.winner) : nullptr, wanted);
        result.detail = "Another change was accepted first. This one was not.";
        return result;
    case store_status::refused:
        result.status = edit_status::unavailable;
        result.detail = "The key-value service is over its rate limit. Nothing was changed.";
        return result;
    case store_status::absent:
    case store_status::unknown:
        result.status = edit_status::unknown;
        result.detail = "The key-value service did not say whether the change was accepted. Run "
                        "hemlocknotchctl show before anything else.";
        return result;
    }
    assert(false);
    return result;
}

/// Writes `envelope` on top of `base` and hands on how it ended.
void write_change(const std::shared_ptr<edit_context>& context, const current_configuration& base,
                  const configuration_envelope& envelope, config_editor::edit_callback done)
{
    keep_in_history(context->store, base, [=, done = std::move(done)] {
        envelope_writer::write(context->store, context->environment, base, envelope,
                               [=](const write_result& written) {
                                   if (written.status == store_status::ok) {
                                       trim_history(context->store, envelope.revision);
                                   }
                                   done(result_of(written, base.envelope, envelope));
                               });
    });
}

std::optional<configuration_envelope> winner_of(const current_configuration& base)
{
    return base.status == store_status::ok ? std::optional{base.envelope} : std::nullopt;
}

void apply_on(const std::shared_ptr<edit_context>& context, const apply_order& order,
              const current_configuration& base)
{
    // A value that is no configuration is replaced where the operator says above which revision.
    const bool is_replacement = base.version != 0 && order.revision_above != 0;
    if (!is_readable(base) && !is_replacement) {
        context->done(unreadable(base));
        return;
    }
    const configuration_ptr current = base.status == store_status::ok ? parse(base.envelope) : nullptr;
    configuration_envelope envelope = successor(base.envelope, order.revision_above, *context);
    envelope.document = keep_out_of_service(order.document, current ? current->out : out_of_service{});
    if (order.base_revision != 0 && order.base_revision != base.envelope.revision) {
        context->done(result_of({store_status::conflict, winner_of(base)}, base.envelope, envelope));
        return;
    }
    if (base.envelope.document == envelope.document && base.envelope.revision > order.revision_above) {
        edit_result result;
        result.status = edit_status::unchanged;
        result.revision = base.envelope.revision;
        result.detail = "This document is in force already.";
        context->done(result);
        return;
    }
    write_change(context, base, envelope, context->done);
}

edit_result not_found(const std::string& detail, std::uint64_t revision)
{
    edit_result result;
    result.status = edit_status::not_found;
    result.revision = revision;
    result.detail = detail;
    return result;
}

/// Changes `out` as `order` says. Returns whether that changes anything.
bool change(out_of_service& out, const out_of_service_order& order)
{
    auto& names = order.kind == out_of_service_kind::failure_domain ? out.failure_domains : out.instances;
    return order.is_out ? names.insert(order.name).second : names.erase(order.name) > 0;
}

void change_out(const std::shared_ptr<edit_context>& context, const out_of_service_order& order,
                std::uint32_t race);

void change_out_on(const std::shared_ptr<edit_context>& context, const out_of_service_order& order,
                   std::uint32_t race, const current_configuration& base)
{
    const configuration_ptr current = base.status == store_status::ok ? parse(base.envelope) : nullptr;
    if (!is_readable(base)) {
        context->done(unreadable(base));
        return;
    }
    if (!current) {
        context->done(not_found("There is no configuration in force that passes its check.", 0));
        return;
    }
    out_of_service out = current->out;
    if (!change(out, order)) {
        edit_result result = not_found(order.name + " is not out of service.", current->revision);
        if (order.is_out) {
            result.status = edit_status::unchanged;
            result.detail = order.name + " is out of service already.";
        }
        context->done(result);
        return;
    }
    configuration_envelope envelope = successor(base.envelope, 0, *context);
    envelope.document = replace_out_of_service(base.envelope.document, out).value_or("");
    configuration_read_result reading = read_configuration(envelope.document, envelope.revision);
    if (!reading.accepted) {
        edit_result result;
        result.status = edit_status::refused;
        result.revision = current->revision;
        result.errors = std::move(reading.errors);
        result.detail = "The changed document does not pass its check. Nothing was changed.";
        context->done(result);
        return;
    }
    assert(reading.accepted->out == out);
    write_change(context, base, envelope, [=](const edit_result& result) {
        if (result.status == edit_status::conflict && race < max_races) {
            change_out(context, order, race + 1);
            return;
        }
        context->done(result);
    });
}

void change_out(const std::shared_ptr<edit_context>& context, const out_of_service_order& order,
                std::uint32_t race)
{
    read_envelope_at(context->store, context->environment, std::string{configuration_key},
                     [=](const current_configuration& base) { change_out_on(context, order, race, base); });
}

} // namespace

config_editor::config_editor(key_value_service& store, edit_environment& environment, std::string author)
    : store_{store}, environment_{environment}, author_{std::move(author)}
{
}

void config_editor::read(read_callback done)
{
    read_envelope_at(store_, environment_, std::string{configuration_key}, std::move(done));
}

void config_editor::read_revision(std::uint64_t revision, read_callback done)
{
    read([this, revision, done = std::move(done)](const current_configuration& current) {
        if (current.status != store_status::ok || current.envelope.revision == revision) {
            done(current);
            return;
        }
        read_envelope_at(store_, environment_, history_key(revision), done);
    });
}

void config_editor::apply(const apply_order& order, edit_callback done)
{
    configuration_read_result reading = read_configuration(order.document, order.revision_above + 1);
    if (!reading.accepted) {
        edit_result result;
        result.status = edit_status::refused;
        result.errors = std::move(reading.errors);
        result.detail = "The document does not pass its check. Nothing was changed.";
        done(result);
        return;
    }
    const auto context =
        std::make_shared<edit_context>(edit_context{store_, environment_, author_, std::move(done)});
    read_envelope_at(store_, environment_, std::string{configuration_key},
                     [=](const current_configuration& base) { apply_on(context, order, base); });
}

void config_editor::change_out_of_service(const out_of_service_order& order, edit_callback done)
{
    const auto context =
        std::make_shared<edit_context>(edit_context{store_, environment_, author_, std::move(done)});
    constexpr std::uint32_t first_race = 1;
    change_out(context, order, first_race);
}

} // namespace hemlocknotch
