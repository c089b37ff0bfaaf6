#include "daemon/logger.h"

#include "daemon/linewriter.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/hierarchy.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <fstream>
#include <unistd.h>

namespace Samphirepitch
{

namespace
{

log4cxx::LevelPtr levelOf(EventSeverity severity)
{
    switch (severity) {
    case EventSeverity::Info:
        return log4cxx::Level::getInfo();
    case EventSeverity::Warning:
        return log4cxx::Level::getWarn();
    case EventSeverity::Error:
        break;
    }
    return log4cxx::Level::getError();
}

log4cxx::LevelPtr levelNamed(std::string_view name)
{
    if (name == "info") {
        return log4cxx::Level::getInfo();
    }
    if (name == "warning") {
        return log4cxx::Level::getWarn();
    }
    return name == "error" ? log4cxx::Level::getError() : nullptr;
}

/** log4cxx appender that writes to a LineWriter. */
class LineAppender : public log4cxx::AppenderSkeleton
{
public:
    explicit LineAppender(LineWriter &writer)
        : m_writer(writer)
    {
    }

    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &) override
    {
        m_writer.write(event->getRenderedMessage());
    }

    void close() override
    {
    }

    bool requiresLayout() const override
    {
        return false;
    }

private:
    LineWriter &m_writer;
};

log4cxx::AppenderPtr makeAppender(const std::string &file, LineWriter &standardOutput)
{
    if (file.empty()) {
        return std::make_shared<LineAppender>(standardOutput);
    }
    // log4cxx adds nothing to the lines: they contain the time already, which comes from Clock.
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
    return std::make_shared<log4cxx::FileAppender>(layout, file, true);
}

} // namespace

struct Logger::Private {
    LineWriter standardOutput { STDOUT_FILENO };
    // Each logger has its own hierarchy instead of sharing the global state of log4cxx.
    log4cxx::spi::LoggerRepositoryPtr hierarchy;
    log4cxx::LoggerPtr logger;
};

Result<std::unique_ptr<Logger>> Logger::open(std::string_view level, const std::string &file)
{
    if (!file.empty() && !std::ofstream(file, std::ios::app)) {
        return failure(ErrorKind::InputOutput, file, "the log file cannot be opened for writing");
    }
    auto data = std::make_unique<Private>();
    data->hierarchy = log4cxx::Hierarchy::create();
    data->hierarchy->setConfigured(true);
    data->logger = data->hierarchy->getLogger(LOG4CXX_STR("samphirepitch"));
    data->logger->addAppender(makeAppender(file, data->standardOutput));
    std::unique_ptr<Logger> logger(new Logger(std::move(data)));
    if (auto set = logger->setLevel(level); !set) {
        return tl::unexpected(set.error());
    }
    return logger;
}

Logger::Logger(std::unique_ptr<Private> data)
    : m_data(std::move(data))
{
}

Logger::~Logger()
{
    m_data->logger->removeAllAppenders();
}

void Logger::write(EventSeverity severity, const std::string &line)
{
    const log4cxx::LevelPtr level = levelOf(severity);
    if (m_data->logger->isEnabledFor(level)) {
        m_data->logger->forcedLog(level, line);
    }
}

void Logger::writeMetrics(MetricWriter &writer) const
{
    writer.counter(
        "samphirepitch_log_lines_lost_total", "Log lines lost because standard output was not ready.", {}, m_data->standardOutput.lost());
}

Result<void> Logger::setLevel(std::string_view level)
{
    const log4cxx::LevelPtr found = levelNamed(level);
    if (!found) {
        return failure(ErrorKind::InvalidArgument, std::string(level), "unknown log level; must be info, warning or error");
    }
    m_data->logger->setLevel(found);
    return {};
}

} // namespace Samphirepitch
