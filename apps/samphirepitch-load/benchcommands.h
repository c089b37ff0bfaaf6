#pragma once

#include "command.h"

namespace Samphirepitch
{

/** capacity-bench: measures the memory and processor time that an instance needs at the planned size; see docs/CAPACITY.md. */
class CapacityBenchCommand : public Command
{
public:
    std::string_view name() const override;
    std::string_view summary() const override;
    int run() override;
};

/** control-bench: measures the control traffic between instances that are linked over loopback. */
class ControlBenchCommand : public Command
{
public:
    std::string_view name() const override;
    std::string_view summary() const override;
    int run() override;
};

} // namespace Samphirepitch
