#pragma once

#include "command.h"

namespace Samphirepitch
{

/** run: generates the load of a scenario and prints a report. */
class RunCommand : public Command
{
public:
    std::string_view name() const override;
    std::string_view summary() const override;
    int run() override;
};

} // namespace Samphirepitch
