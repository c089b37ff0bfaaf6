#pragma once

#include <string_view>

namespace Samphirepitch
{

/** Tells whether an instance serves. */
class HealthSource
{
public:
    virtual ~HealthSource() = default;

    /** Returns whether the instance takes new work. */
    virtual bool isServing() const = 0;

    /** Returns the state in a word, such as "serving", "no_generation" or "leaving". */
    virtual std::string_view stateName() const = 0;
};

} // namespace Samphirepitch
