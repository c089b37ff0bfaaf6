#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** One fault of a TOML file. */
struct KeyFinding {
    std::string file;
    std::size_t line = 0; /**< 1-based; 0 if the key is missing from the file */
    std::string key; /**< with its sections, such as "peer.address" */
    std::string seen; /**< the value as written, or "nothing" */
    std::string allowed;

    /** Returns one line for people. */
    std::string describe() const;

    friend bool operator==(const KeyFinding &, const KeyFinding &) = default;
};

using KeyFindings = std::vector<KeyFinding>;

} // namespace Samphirepitch
