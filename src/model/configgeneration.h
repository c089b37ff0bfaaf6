#pragma once

#include "model/configset.h"
#include "model/headrecord.h"

#include <memory>

namespace Samphirepitch
{

/** A generation of the configuration with all its objects. */
struct ConfigGeneration {
    HeadPointer head;
    std::shared_ptr<const ConfigSet> set;

    friend bool operator==(const ConfigGeneration &, const ConfigGeneration &) = default;
};

/** Observer of the configuration of an instance. */
class ConfigListener
{
public:
    virtual ~ConfigListener() = default;

    /**
     * Must handle a new configuration. Called once for each generation that this instance has received completely, with
     * increasing generation numbers.
     */
    virtual void configurationChanged(const ConfigGeneration &generation) = 0;
};

} // namespace Samphirepitch
