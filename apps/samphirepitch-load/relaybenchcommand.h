#pragma once

#include "subcommand.h"

namespace Samphirepitch
{

/** relay-bench: compares the data path with a plain relay. */
class RelayBenchCommand : public Subcommand
{
public:
    std::string_view name() const override;
    std::string_view usage() const override;
    int run() override;
};

} // namespace Samphirepitch
