#pragma once

#include "core/eventsink.h"

#include <string>

namespace Samphirepitch
{

/** Takes complete log lines. */
class LogWriter
{
public:
    virtual ~LogWriter() = default;

    /** Writes one line, which has no line end, unless its severity is below the level. */
    virtual void write(EventSeverity severity, const std::string &line) = 0;
};

} // namespace Samphirepitch
