#pragma once

#include "membership/memberview.h"

#include <memory>

namespace Samphirepitch
{

/** Receives each new member view. */
class MemberListener
{
public:
    virtual ~MemberListener() = default;

    /**
     * Takes a new view.
     * @param view the complete new view; immutable and never null
     */
    virtual void memberViewChanged(std::shared_ptr<const MemberView> view) = 0;
};

} // namespace Samphirepitch
