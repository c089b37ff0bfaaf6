#pragma once

#include "model/configset.h"
#include "model/finding.h"

#include <string>
#include <vector>

namespace Samphirepitch
{

/** The set read from configuration files and everything found in it. */
struct ConfigFiles {
    ConfigSet set;
    std::vector<Finding> findings; /**< of reading and of checking, with file and line */

    /** Reads the files as one set and checks it. */
    static ConfigFiles read(const std::vector<std::string> &paths);
};

} // namespace Samphirepitch
