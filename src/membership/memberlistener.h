#pragma once

#include "membership/memberview.h"

#include <memory>

namespace Samphirepitch
{

/** Hears of each change of the member view. */
class MemberListener
{
public:
    virtual ~MemberListener() = default;

    /** Called with the new view, which never changes afterwards. */
    virtual void memberViewChanged(std::shared_ptr<const MemberView> view) = 0;
};

} // namespace Samphirepitch
