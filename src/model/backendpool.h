#pragma once

#include "model/backendserver.h"

#include <memory>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** A named group of backend servers that services send their traffic to. */
class BackendPool
{
public:
    /** The fields of the object, which is immutable after construction. */
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

    /** Compares by value. Copies share their fields, which makes comparing them cheap. */
    friend bool operator==(const BackendPool &left, const BackendPool &right);

private:
    std::shared_ptr<const Fields> m_fields;
};

} // namespace Samphirepitch
