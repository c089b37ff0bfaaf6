#pragma once

namespace Samphirepitch
{

/** Stops the instance gracefully on behalf of an operator. */
class DrainHandler
{
public:
    virtual ~DrainHandler() = default;

    /** Starts the graceful stop. @return false if the instance is leaving already */
    virtual bool drainRequested() = 0;
};

} // namespace Samphirepitch
