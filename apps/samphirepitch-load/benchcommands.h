#pragma once

#include "command.h"

namespace Samphirepitch
{

/** Measures what the planned size costs an instance; see docs/CAPACITY.md. */
class CapacityBenchCommand : public Command
{
public:
    std::string_view name() const override;
    std::string_view summary() const override;
    int run() override;
};

/** Measures the control traffic of instances that are linked over loopback. */
class ControlBenchCommand : public Command
{
public:
    std::string_view name() const override;
    std::string_view summary() const override;
    int run() override;
};

} // namespace Samphirepitch
