#pragma once

#include "daemon/keychecker.h"

#include <vector>

namespace Samphirepitch
{

/** Maps a key to the member of @p Fields that holds its value. */
template<typename Fields>
struct KeyRow {
    KeySpec spec;
    KeyValue (*load)(const Fields &fields); /**< returns the value of the member */
    void (*store)(Fields &fields, const KeyValue &value); /**< sets the member; the type of the value must match */
};

/** Makes the row of the member @p Member. The type of the member determines the kind of the key. */
template<auto Member, typename Fields, typename Value>
KeyRow<Fields> makeKeyRow(KeySpec spec, Value Fields::*)
{
    spec.kind = static_cast<KeyKind>(KeyValue(Value()).index());
    return { std::move(spec), [](const Fields &fields) { return KeyValue(fields.*Member); },
        [](Fields &fields, const KeyValue &value) { fields.*Member = std::get<Value>(value); } };
}

template<auto Member>
auto keyRow(KeySpec spec)
{
    return makeKeyRow<Member>(std::move(spec), Member);
}

/** Reads all keys of a section. Adds a finding for each invalid, missing or unknown key. */
template<typename Fields>
Fields readKeys(const std::vector<KeyRow<Fields>> &rows, const KeySection &section, const std::string &file, KeyFindings &findings)
{
    KeyChecker checker(file, findings);
    std::vector<std::string_view> known;
    Fields fields;
    for (const KeyRow<Fields> &row : rows) {
        row.store(fields, checker.read(section, row.spec));
        known.push_back(row.spec.key);
    }
    checker.checkUnknown(section, known);
    return fields;
}

} // namespace Samphirepitch
