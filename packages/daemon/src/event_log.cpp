#include "event_log.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};

std::string_view name_of(log_level level)
{
    return level_names.at(static_cast<std::size_t>(level));
}

log4cplus::LogLevel log4cplus_level(log_level level)
{
    constexpr std::array levels{log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
                                log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};
    return levels.at(static_cast<std::size_t>(level));
}

log4cplus::Logger create_logger()
{
    auto logger = log4cplus::Logger::getInstance("hemlocknotch");
    logger.removeAllAppenders();
    log4cplus::SharedAppenderPtr appender{new log4cplus::ConsoleAppender{true, true}};
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    logger.addAppender(appender);
    logger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
    return logger;
}

log4cplus::Logger& logger_of_process()
{
    static const log4cplus::Initializer initializer;
    static log4cplus::Logger logger = create_logger();
    return logger;
}

/// Returns the time as RFC 3339 in UTC with milliseconds.
std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buf{};
    std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(ms % 1000));
    return std::string{buf.data()} + fraction.data();
}

} // namespace

std::optional<log_level> parse_log_level(std::string_view text)
{
    for (std::size_t n = 0; n < level_names.size(); ++n) {
        if (level_names.at(n) == text) {
            return static_cast<log_level>(n);
        }
    }
    return std::nullopt;
}

std::string log_line(const log_effect& record, log_format format, std::string_view time,
                     std::string_view process_name)
{
    if (format == log_format::text) {
        std::string out = std::string{time} + " " + std::string{name_of(record.level)} + " " + record.event;
        for (const auto& field : record.fields) {
            out += " " + field.name + "=" +
                   nlohmann::json(field.value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        }
        return out;
    }
    nlohmann::ordered_json out;
    out["time"] = time;
    out["level"] = name_of(record.level);
    out["process"] = process_name;
    out["event"] = record.event;
    for (const auto& field : record.fields) {
        out[field.name] = field.value;
    }
    return out.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

event_log::event_log(log_level level, log_format format, std::string process_name)
    : level_{level}, format_{format}, process_name_{std::move(process_name)}
{
}

void event_log::write(const log_effect& record)
{
    if (record.level < level_) {
        return;
    }
    auto& logger = logger_of_process();
    logger.log(log4cplus_level(record.level), log_line(record, format_, timestamp(), process_name_));
}

} // namespace hemlocknotch::daemon
