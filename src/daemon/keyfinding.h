#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** A fault in a TOML file. */
struct KeyFinding {
    std::string file;
    std::size_t line = 0; /**< line number from 1; 0 if the key is missing from the file */
    std::string key; /**< key with its tables, such as "peer.address" */
    std::string seen; /**< the value as TOML text, or "missing" or "nothing" */
    std::string allowed;

    /** Returns the finding as one line of text. */
    std::string describe() const;

    friend bool operator==(const KeyFinding &, const KeyFinding &) = default;
};

using KeyFindings = std::vector<KeyFinding>;

} // namespace Samphirepitch
