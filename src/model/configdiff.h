#pragma once

#include "model/configset.h"

#include <string>
#include <vector>

namespace Samphirepitch
{

/** The kind of difference of an object between two configurations. */
enum class ChangeKind {
    Added,
    Removed,
    Changed,
};

/** A field that differs. */
struct FieldChange {
    std::string field;
    std::string from; /**< old value; empty if the object was added */
    std::string to; /**< new value; empty if the object was removed */

    friend bool operator==(const FieldChange &, const FieldChange &) = default;
};

/** An object that was added, removed or changed. */
struct ObjectChange {
    ChangeKind kind = ChangeKind::Changed;
    std::string object; /**< kind and name, such as "server pond/pond-01" */
    std::vector<FieldChange> fields; /**< sorted by field */

    friend bool operator==(const ObjectChange &, const ObjectChange &) = default;
};

/** The differences between two configurations by object and field. */
class ConfigDiff
{
public:
    /** Compares two configurations. A backend server is an object of its own, not a field of its pool. */
    static ConfigDiff between(const ConfigSet &from, const ConfigSet &to);

    /** Returns the objects that differ, sorted by kind and name. */
    const std::vector<ObjectChange> &changes() const;

    /** Returns one line for each changed object and each changed field; empty if the configurations are equal. */
    std::string toText() const;

    /** Returns a JSON array of {"change", "object", "fields": [{"field", "from", "to"}]}. */
    std::string toJson() const;

private:
    explicit ConfigDiff(std::vector<ObjectChange> changes);

    std::vector<ObjectChange> m_changes;
};

} // namespace Samphirepitch
