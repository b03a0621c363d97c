#include <hemlocknotch/core/message.hpp>

namespace hemlocknotch {
namespace {

struct kind_visitor {
    std::string_view operator()(const hello_message& /*value*/) const { return "hello"; }

    std::string_view operator()(const submit_message& /*value*/) const { return "submit"; }

    std::string_view operator()(const refuse_message& /*value*/) const { return "refuse"; }

    std::string_view operator()(const head_message& /*value*/) const { return "head"; }

    std::string_view operator()(const part_message& /*value*/) const { return "part"; }

    std::string_view operator()(const end_message& /*value*/) const { return "end"; }

    std::string_view operator()(const ack_message& /*value*/) const { return "ack"; }

    std::string_view operator()(const cancel_message& /*value*/) const { return "cancel"; }

    std::string_view operator()(const resolve_message& /*value*/) const { return "resolve"; }

    std::string_view operator()(const resolved_message& /*value*/) const { return "resolved"; }

    std::string_view operator()(const demand_message& /*value*/) const { return "demand"; }

    std::string_view operator()(const free_slots_message& /*value*/) const { return "room"; }

    std::string_view operator()(const grant_message& /*value*/) const { return "grant"; }

    std::string_view operator()(const decline_message& /*value*/) const { return "decline"; }

    std::string_view operator()(const service_report_message& /*value*/) const { return "service-report"; }

    std::string_view operator()(const revision_message& /*value*/) const { return "revision"; }

    std::string_view operator()(const configuration_request_message& /*value*/) const
    {
        return "configuration-request";
    }

    std::string_view operator()(const configuration_message& /*value*/) const { return "configuration"; }

    std::string_view operator()(const heartbeat_message& /*value*/) const { return "heartbeat"; }

    std::string_view operator()(const service_totals_message& /*value*/) const { return "service-totals"; }
};

} // namespace

std::string_view kind_of(const message& value)
{
    return std::visit(kind_visitor{}, value);
}

} // namespace hemlocknotch
