#include "daemon/keyfinding.h"

namespace Samphirepitch
{

std::string KeyFinding::describe() const
{
    return file + ':' + std::to_string(line) + ": " + key + " is " + seen + "; allowed: " + allowed;
}

} // namespace Samphirepitch
