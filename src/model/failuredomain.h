#pragma once

#include <string>

namespace Samphirepitch
{

/** A part of the deployment that can fail or lose its network connection as a whole. */
class FailureDomain
{
public:
    /** The fields of the object, which is immutable after construction. */
    struct Fields {
        std::string name; /**< unique among failure domains */
        std::string region; /**< name of the region that the failure domain belongs to */

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
