#pragma once

#include <cstdint>

namespace Samphirepitch
{

/** Provides the configuration generations of the data path of this instance. */
class GenerationSource
{
public:
    virtual ~GenerationSource() = default;

    /** Returns the highest generation for which all flow exceptions have been handed over. */
    virtual std::uint64_t preparedGeneration() const = 0;

    /** Returns the generation that the data path uses for new work. */
    virtual std::uint64_t activeGeneration() const = 0;
};

} // namespace Samphirepitch
