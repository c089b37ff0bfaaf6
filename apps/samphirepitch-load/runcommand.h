#pragma once

#include "subcommand.h"

namespace Samphirepitch
{

/** Offers the load of a scenario and prints the report. */
class RunCommand : public Subcommand
{
public:
    std::string_view name() const override;
    std::string_view usage() const override;
    int run() override;
};

} // namespace Samphirepitch
