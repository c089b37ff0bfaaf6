#pragma once

#include <string_view>

namespace Samphirepitch
{

/** Interface that reports whether an instance is ready for work. */
class HealthSource
{
public:
    virtual ~HealthSource() = default;

    /** Returns whether the instance accepts new work. */
    virtual bool isServing() const = 0;

    /** Returns the state as one word: "serving", "no_generation" or "leaving". */
    virtual std::string_view stateName() const = 0;
};

} // namespace Samphirepitch
