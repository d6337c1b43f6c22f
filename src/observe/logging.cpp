#include "observe/logging.h"

#include <array>
#include <iostream>

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <json/value.h>

#include "base/enumtable.h"
#include "base/json.h"
#include "observe/boundedwriter.h"

namespace currantwalk {

static constexpr std::array<EnumName<LogLevel>, 4> LogLevelNames{{
        {LogLevel::Debug, "debug"},
        {LogLevel::Info, "info"},
        {LogLevel::Warning, "warning"},
        {LogLevel::Error, "error"},
}};

static constexpr std::array<EnumName<LogFormat>, 2> LogFormatNames{{
        {LogFormat::Text, "text"},
        {LogFormat::Json, "json"},
}};

static constexpr std::array<EnumName<LogPart>, 16> LogPartNames{{
        {LogPart::Daemon, "daemon"},
        {LogPart::Callers, "callers"},
        {LogPart::Calls, "calls"},
        {LogPart::Claims, "claims"},
        {LogPart::Config, "config"},
        {LogPart::Drain, "drain"},
        {LogPart::Lease, "lease"},
        {LogPart::Limits, "limits"},
        {LogPart::Log, "log"},
        {LogPart::Membership, "membership"},
        {LogPart::Operators, "operators"},
        {LogPart::Peers, "peers"},
        {LogPart::Placement, "placement"},
        {LogPart::Poison, "poison"},
        {LogPart::Routing, "routing"},
        {LogPart::Targets, "targets"},
}};

std::string_view logLevelName(LogLevel level)
{
    return enumName(LogLevelNames, level);
}

std::optional<LogLevel> logLevelFromName(std::string_view name)
{
    return enumValue(LogLevelNames, name);
}

std::optional<LogFormat> logFormatFromName(std::string_view name)
{
    return enumValue(LogFormatNames, name);
}

std::string_view logPartName(LogPart part)
{
    return enumName(LogPartNames, part);
}

std::optional<LogPart> logPartFromName(std::string_view name)
{
    return enumValue(LogPartNames, name);
}

namespace {

using Logger = boost::log::sources::severity_logger<LogLevel>;
using Sink = boost::log::sinks::synchronous_sink<boost::log::sinks::text_ostream_backend>;

/// Passes formatted lines to a non-blocking writer.
class BoundedBackend : public boost::log::sinks::basic_formatted_sink_backend<
                               char, boost::log::sinks::synchronized_feeding>
{
public:
    explicit BoundedBackend(std::unique_ptr<BoundedWriter> writer) : m_writer(std::move(writer)) {}

    void consume(const boost::log::record_view &, const string_type &line)
    {
        m_writer->write(line);
    }

private:
    std::unique_ptr<BoundedWriter> m_writer;
};

using BoundedSink = boost::log::sinks::synchronous_sink<BoundedBackend>;

} // namespace

static bool isInitialised = false;

static Logger &logger()
{
    static Logger instance;
    return instance;
}

template<typename Value>
static Value attributeOf(const boost::log::record_view &record, const char *name, Value fallback)
{
    const auto value = boost::log::extract<Value>(name, record);
    return value ? *value : fallback;
}

static std::string isoTime(const boost::posix_time::ptime &time)
{
    return boost::posix_time::to_iso_extended_string(time) + "Z";
}

static std::string timeOf(const boost::log::record_view &record)
{
    using boost::posix_time::ptime;
    return isoTime(attributeOf<ptime>(record, "TimeStamp", ptime()));
}

static std::string partOf(const boost::log::record_view &record)
{
    return std::string(logPartName(attributeOf(record, "Part", LogPart::Daemon)));
}

static void formatText(const boost::log::record_view &record, boost::log::formatting_ostream &out)
{
    const LogLevel level = attributeOf(record, "Severity", LogLevel::Info);
    out << timeOf(record) << ' ' << std::string(logLevelName(level)) << " [" << partOf(record)
        << "] " << attributeOf<std::string>(record, "Message", "");
    const std::string request = attributeOf<std::string>(record, "Request", "");
    if (!request.empty())
        out << " request=" << request;
}

static void formatJson(const boost::log::record_view &record, boost::log::formatting_ostream &out)
{
    Json::Value json(Json::objectValue);
    json["time"] = timeOf(record);
    json["level"] = std::string(logLevelName(attributeOf(record, "Severity", LogLevel::Info)));
    json["part"] = partOf(record);
    json["message"] = attributeOf<std::string>(record, "Message", "");
    const std::string request = attributeOf<std::string>(record, "Request", "");
    if (!request.empty())
        json["request"] = request;
    out << writeJson(json);
}

template<typename AnySink>
static void addSink(const boost::shared_ptr<AnySink> &sink, LogFormat format, LogLevel level)
{
    const boost::shared_ptr<boost::log::core> core = boost::log::core::get();
    core->remove_all_sinks();
    sink->set_formatter(format == LogFormat::Json ? &formatJson : &formatText);
    sink->set_filter([level](const boost::log::attribute_value_set &values) {
        const auto severity = boost::log::extract<LogLevel>("Severity", values);
        return severity && *severity >= level;
    });
    core->add_sink(sink);
    core->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
    isInitialised = true;
}

static std::string droppedLinesNotice(std::uint64_t count)
{
    Json::Value json(Json::objectValue);
    json["time"] = isoTime(boost::posix_time::microsec_clock::universal_time());
    json["level"] = "warning";
    json["part"] = "daemon";
    json["message"] =
            "Log lines were dropped: the rate limit was exceeded or the reader was too slow.";
    json["count"] = Json::UInt64(count);
    return writeJson(json);
}

void initBoundedLogging(int fd, LogLevel level, std::function<TimePoint()> now)
{
    auto writer = std::make_unique<BoundedWriter>(fd, BoundedWriter::Options(), std::move(now),
                                                  &droppedLinesNotice);
    addSink(boost::make_shared<BoundedSink>(boost::make_shared<BoundedBackend>(std::move(writer))),
            LogFormat::Json, level);
}

void initLogging(LogFormat format, LogLevel level)
{
    const boost::shared_ptr<Sink> sink = boost::make_shared<Sink>();
    sink->locked_backend()->add_stream(
            boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    sink->locked_backend()->auto_flush(true);
    addSink(sink, format, level);
}

void logLine(LogPart part, LogLevel level, std::string_view message)
{
    logRequest(part, level, "", message);
}

void logRequest(LogPart part, LogLevel level, std::string_view requestId, std::string_view message)
{
    if (!isInitialised)
        return;
    BOOST_LOG_SEV(logger(), level)
            << boost::log::add_value("Part", part)
            << boost::log::add_value("Request", std::string(requestId)) << message;
}

} // namespace currantwalk
