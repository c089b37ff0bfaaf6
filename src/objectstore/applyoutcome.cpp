#include "objectstore/applyoutcome.h"

namespace Samphirepitch
{

std::string_view applyStatusName(ApplyStatus status)
{
    switch (status) {
    case ApplyStatus::Accepted:
        return "accepted";
    case ApplyStatus::Unchanged:
        return "unchanged";
    case ApplyStatus::Conflict:
        return "conflict";
    case ApplyStatus::NotAccepted:
        return "not_accepted";
    case ApplyStatus::Unknown:
        return "unknown";
    }
    return "unknown_status";
}

} // namespace Samphirepitch
