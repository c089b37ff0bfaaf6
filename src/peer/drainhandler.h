#pragma once

namespace Samphirepitch
{

/** Handles an operator's request to stop the instance gracefully. */
class DrainHandler
{
public:
    virtual ~DrainHandler() = default;

    /**
     * Starts the graceful stop of the instance.
     * @return false if the instance is already leaving
     */
    virtual bool drainRequested() = 0;
};

} // namespace Samphirepitch
