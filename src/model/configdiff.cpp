#include "model/configdiff.h"

#include "model/objectfields.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Samphirepitch
{

namespace
{

struct ChangeLabels {
    const char *name;
    const char *prefix;
};

ChangeLabels labelsOf(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::Added:
        return { "added", "+ " };
    case ChangeKind::Removed:
        return { "removed", "- " };
    case ChangeKind::Changed:
        return { "changed", "~ " };
    }
    return { "unknown", "? " };
}

std::string fieldValue(const FieldTexts &fields, const std::string &key)
{
    const auto found = fields.find(key);
    return found == fields.end() ? std::string() : found->second;
}

std::vector<FieldChange> compareFields(const FieldTexts &from, const FieldTexts &to)
{
    FieldTexts keys = from;
    keys.insert(to.begin(), to.end());
    std::vector<FieldChange> changes;
    for (const auto &[key, value] : keys) {
        FieldChange change { key, fieldValue(from, key), fieldValue(to, key) };
        if (change.from != change.to) {
            changes.push_back(std::move(change));
        }
    }
    return changes;
}

std::string fieldLine(const FieldChange &field, ChangeKind kind)
{
    const std::string label = "    " + field.field + ": ";
    switch (kind) {
    case ChangeKind::Added:
        return label + field.to + "\n";
    case ChangeKind::Removed:
        return label + field.from + "\n";
    case ChangeKind::Changed:
        break;
    }
    return label + field.from + " -> " + field.to + "\n";
}

} // namespace

ConfigDiff::ConfigDiff(std::vector<ObjectChange> changes)
    : m_changes(std::move(changes))
{
}

ConfigDiff ConfigDiff::between(const ConfigSet &from, const ConfigSet &to)
{
    const auto fromObjects = objectTexts(from);
    const auto toObjects = objectTexts(to);
    auto objects = fromObjects;
    objects.insert(toObjects.begin(), toObjects.end());
    std::vector<ObjectChange> changes;
    for (const auto &[object, unused] : objects) {
        const auto oldObject = fromObjects.find(object);
        const auto newObject = toObjects.find(object);
        const ChangeKind kind = oldObject == fromObjects.end() ? ChangeKind::Added
                                                               : (newObject == toObjects.end() ? ChangeKind::Removed : ChangeKind::Changed);
        auto fields = compareFields(
            kind == ChangeKind::Added ? FieldTexts() : oldObject->second, kind == ChangeKind::Removed ? FieldTexts() : newObject->second);
        if (kind != ChangeKind::Changed || !fields.empty()) {
            changes.push_back({ kind, object, std::move(fields) });
        }
    }
    return ConfigDiff(std::move(changes));
}

const std::vector<ObjectChange> &ConfigDiff::changes() const
{
    return m_changes;
}

std::string ConfigDiff::toText() const
{
    std::string text;
    for (const ObjectChange &change : m_changes) {
        text += labelsOf(change.kind).prefix + change.object + "\n";
        for (const FieldChange &field : change.fields) {
            text += fieldLine(field, change.kind);
        }
    }
    return text;
}

std::string ConfigDiff::toJson() const
{
    auto json = nlohmann::json::array();
    for (const ObjectChange &change : m_changes) {
        auto fields = nlohmann::json::array();
        for (const FieldChange &field : change.fields) {
            fields.push_back({ { "field", field.field }, { "from", field.from }, { "to", field.to } });
        }
        json.push_back({ { "change", labelsOf(change.kind).name }, { "object", change.object }, { "fields", fields } });
    }
    // Names written by other programs may not be valid UTF-8; invalid bytes are replaced instead of throwing an exception.
    return json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Samphirepitch
