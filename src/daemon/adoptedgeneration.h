#pragma once

#include "model/configgeneration.h"
#include "peer/generationsource.h"

namespace Samphirepitch
{

/** The generation of an instance without a data path: prepared and in force as soon as it is complete. */
class AdoptedGeneration : public ConfigListener, public GenerationSource
{
public:
    void configurationChanged(const ConfigGeneration &generation) override;
    std::uint64_t preparedGeneration() const override;
    std::uint64_t activeGeneration() const override;

private:
    std::uint64_t m_generation = 0;
};

} // namespace Samphirepitch
