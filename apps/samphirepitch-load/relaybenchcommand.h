#pragma once

#include "command.h"

namespace Samphirepitch
{

/** relay-bench: compares the throughput and latency of the data path with those of a plain relay. */
class RelayBenchCommand : public Command
{
public:
    std::string_view name() const override;
    std::string_view summary() const override;
    int run() override;
};

} // namespace Samphirepitch
