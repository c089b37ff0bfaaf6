#include "model/configdiff.h"

#include "model/objectfields.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Samphirepitch
{

namespace
{

struct ChangeWords {
    const char *name;
    const char *mark;
};

ChangeWords wordsOf(ChangeKind kind)
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

std::string valueOf(const FieldTexts &fields, const std::string &key)
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
        FieldChange change { key, valueOf(from, key), valueOf(to, key) };
        if (change.from != change.to) {
            changes.push_back(std::move(change));
        }
    }
    return changes;
}

std::string lineOf(const FieldChange &field, ChangeKind kind)
{
    const std::string start = "    " + field.field + ": ";
    switch (kind) {
    case ChangeKind::Added:
        return start + field.to + "\n";
    case ChangeKind::Removed:
        return start + field.from + "\n";
    case ChangeKind::Changed:
        break;
    }
    return start + field.from + " -> " + field.to + "\n";
}

} // namespace

ConfigDiff::ConfigDiff(std::vector<ObjectChange> changes)
    : m_changes(std::move(changes))
{
}

ConfigDiff ConfigDiff::between(const ConfigSet &from, const ConfigSet &to)
{
    const auto before = objectTexts(from);
    const auto after = objectTexts(to);
    auto objects = before;
    objects.insert(after.begin(), after.end());
    std::vector<ObjectChange> changes;
    for (const auto &[object, unused] : objects) {
        const auto old = before.find(object);
        const auto now = after.find(object);
        const ChangeKind kind = old == before.end() ? ChangeKind::Added : (now == after.end() ? ChangeKind::Removed : ChangeKind::Changed);
        auto fields = compareFields(
            kind == ChangeKind::Added ? FieldTexts() : old->second, kind == ChangeKind::Removed ? FieldTexts() : now->second);
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
        text += wordsOf(change.kind).mark + change.object + "\n";
        for (const FieldChange &field : change.fields) {
            text += lineOf(field, change.kind);
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
        json.push_back({ { "change", wordsOf(change.kind).name }, { "object", change.object }, { "fields", fields } });
    }
    // Names of a foreign writer may hold bytes that are not UTF-8; they are shown, not thrown.
    return json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Samphirepitch
