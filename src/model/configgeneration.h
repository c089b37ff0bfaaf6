#pragma once

#include "model/configset.h"
#include "model/headrecord.h"

#include <memory>

namespace Samphirepitch
{

/** A complete generation as an instance uses it. */
struct ConfigGeneration {
    HeadPointer head;
    std::shared_ptr<const ConfigSet> set;

    friend bool operator==(const ConfigGeneration &, const ConfigGeneration &) = default;
};

/** Hears of each generation that an instance takes; generations only rise. */
class ConfigListener
{
public:
    virtual ~ConfigListener() = default;

    /** Called once for each generation that becomes complete on this instance. */
    virtual void configurationChanged(const ConfigGeneration &generation) = 0;
};

} // namespace Samphirepitch
