#pragma once

#include <string>

namespace Samphirepitch
{

/** A part of the deployment that can be cut off as a whole. */
class FailureDomain
{
public:
    /** The values of all fields; the object never changes after construction. */
    struct Fields {
        std::string name; /**< unique among failure domains */
        std::string region; /**< region that the failure domain belongs to */

        friend bool operator==(const Fields &, const Fields &) = default;
    };

    explicit FailureDomain(Fields fields);

    const std::string &name() const;
    const std::string &region() const;

    friend bool operator==(const FailureDomain &, const FailureDomain &) = default;

private:
    Fields m_fields;
};

} // namespace Samphirepitch
