#pragma once

#include "model/configset.h"

#include <string>
#include <vector>

namespace Samphirepitch
{

/** How an object differs between two sets. */
enum class ChangeKind {
    Added,
    Removed,
    Changed,
};

/** One field that differs. */
struct FieldChange {
    std::string field;
    std::string from; /**< empty if the object was added */
    std::string to; /**< empty if the object was removed */

    friend bool operator==(const FieldChange &, const FieldChange &) = default;
};

/** One object that differs. */
struct ObjectChange {
    ChangeKind kind = ChangeKind::Changed;
    std::string object; /**< kind and name, such as "server pond/pond-01" */
    std::vector<FieldChange> fields; /**< sorted by field */

    friend bool operator==(const ObjectChange &, const ObjectChange &) = default;
};

/** The differences between two sets of operator objects, per object and field. */
class ConfigDiff
{
public:
    /** Compares two sets; each server counts as an object of its own. */
    static ConfigDiff between(const ConfigSet &from, const ConfigSet &to);

    /** Returns the objects that differ, sorted by kind and name. */
    const std::vector<ObjectChange> &changes() const;

    /** Returns one line for each object and each changed field; empty if the sets are equal. */
    std::string toText() const;

    /** Returns a JSON array of {"change", "object", "fields": [{"field", "from", "to"}]}. */
    std::string toJson() const;

private:
    explicit ConfigDiff(std::vector<ObjectChange> changes);

    std::vector<ObjectChange> m_changes;
};

} // namespace Samphirepitch
