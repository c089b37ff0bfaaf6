#pragma once

#include "core/error.h"
#include "core/metricsource.h"
#include "daemon/logwriter.h"

#include <memory>
#include <string>
#include <string_view>

namespace Samphirepitch
{

/** Writes log lines through log4cxx to a file or to standard output. Writing to standard output never blocks. */
class Logger : public LogWriter, public MetricSource
{
public:
    /**
     * Opens the log.
     * @param level "info", "warning" or "error"
     * @param file path of the log file; empty for standard output
     * @return the logger, InvalidArgument for an unknown level, or InputOutput if the file cannot be written
     */
    static Result<std::unique_ptr<Logger>> open(std::string_view level, const std::string &file);

    ~Logger() override;

    void write(EventSeverity severity, const std::string &line) override;

    void writeMetrics(MetricWriter &writer) const override;

    /** Sets the lowest severity that is written. @return InvalidArgument for an unknown level */
    Result<void> setLevel(std::string_view level);

private:
    struct Private;

    explicit Logger(std::unique_ptr<Private> data);

    std::unique_ptr<Private> m_data;
};

} // namespace Samphirepitch
