#pragma once

#include "model/backendserver.h"

#include <memory>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** A named group of backend servers that run the same service. */
class BackendPool
{
public:
    /** The values of all fields; the object never changes after construction. */
    struct Fields {
        std::string name; /**< unique among pools */
        std::vector<BackendServer> servers; /**< sorted by name */
        std::vector<std::string> domains; /**< failure domains in which the pool must have an active server */

        friend bool operator==(const Fields &, const Fields &) = default;
    };

    explicit BackendPool(Fields fields);

    const std::string &name() const;
    const std::vector<BackendServer> &servers() const;
    const std::vector<std::string> &domains() const;

    /** Compares by value; copies of one object share their fields, so that comparing them is cheap. */
    friend bool operator==(const BackendPool &left, const BackendPool &right);

private:
    std::shared_ptr<const Fields> m_fields;
};

} // namespace Samphirepitch
