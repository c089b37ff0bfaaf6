#pragma once

#include "core/eventsink.h"

#include <string>

namespace Samphirepitch
{

/** Interface that writes complete log lines. */
class LogWriter
{
public:
    virtual ~LogWriter() = default;

    /** Writes a line, given without its line end, unless its severity is below the log level. */
    virtual void write(EventSeverity severity, const std::string &line) = 0;
};

} // namespace Samphirepitch
