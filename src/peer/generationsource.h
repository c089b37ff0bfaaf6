#pragma once

#include <cstdint>

namespace Samphirepitch
{

/** Tells how far the data path of this instance is. */
class GenerationSource
{
public:
    virtual ~GenerationSource() = default;

    /** Highest generation for which the flow exceptions are handed over. */
    virtual std::uint64_t preparedGeneration() const = 0;

    /** Generation that the data path uses for new work. */
    virtual std::uint64_t activeGeneration() const = 0;
};

} // namespace Samphirepitch
