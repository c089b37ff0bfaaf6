#pragma once

#include "command.h"

namespace Samphirepitch
{

/** Offers the load of a scenario and prints the report. */
class RunCommand : public Command
{
public:
    std::string_view name() const override;
    std::string_view summary() const override;
    int run() override;
};

} // namespace Samphirepitch
