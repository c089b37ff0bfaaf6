#pragma once

#include "model/configset.h"
#include "model/finding.h"

#include <string>
#include <vector>

namespace Samphirepitch
{

/** The configuration read from files, with its findings. */
struct ConfigFiles {
    ConfigSet set;
    std::vector<Finding> findings; /**< findings of reading and of checking, with file and line */

    /** Reads the files as one configuration and checks it. Files that cannot be read have a finding. */
    static ConfigFiles read(const std::vector<std::string> &paths);
};

} // namespace Samphirepitch
