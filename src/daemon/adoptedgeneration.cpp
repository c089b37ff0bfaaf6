#include "daemon/adoptedgeneration.h"

namespace Samphirepitch
{

void AdoptedGeneration::configurationChanged(const ConfigGeneration &generation)
{
    m_generation = generation.head.generation;
}

std::uint64_t AdoptedGeneration::preparedGeneration() const
{
    return m_generation;
}

std::uint64_t AdoptedGeneration::activeGeneration() const
{
    return m_generation;
}

} // namespace Samphirepitch
