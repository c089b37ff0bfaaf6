#include "core/error.h"

#include <utility>

namespace Samphirepitch
{

std::string_view errorKindName(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidArgument:
        return "invalid_argument";
    case ErrorKind::Malformed:
        return "malformed";
    case ErrorKind::TooLarge:
        return "too_large";
    case ErrorKind::NotFound:
        return "not_found";
    case ErrorKind::VersionConflict:
        return "version_conflict";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::RateLimited:
        return "rate_limited";
    case ErrorKind::DeadlineExceeded:
        return "deadline_exceeded";
    case ErrorKind::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorKind::WrongDeployment:
        return "wrong_deployment";
    case ErrorKind::UnsupportedVersion:
        return "unsupported_version";
    case ErrorKind::Rejected:
        return "rejected";
    case ErrorKind::Stopped:
        return "stopped";
    case ErrorKind::InputOutput:
        return "input_output";
    case ErrorKind::Refused:
        return "refused";
    case ErrorKind::HistoryGone:
        return "history_gone";
    }
    return "unknown_kind";
}

Error::Error(ErrorKind kind, std::string subject, std::string detail)
    : m_kind(kind)
    , m_subject(std::move(subject))
    , m_detail(std::move(detail))
{
}

ErrorKind Error::kind() const
{
    return m_kind;
}

const std::string &Error::subject() const
{
    return m_subject;
}

const std::string &Error::detail() const
{
    return m_detail;
}

std::string Error::describe() const
{
    return std::string(errorKindName(m_kind)) + ": " + m_subject + ": " + m_detail;
}

tl::unexpected<Error> failure(ErrorKind kind, std::string subject, std::string detail)
{
    return tl::unexpected<Error>(Error(kind, std::move(subject), std::move(detail)));
}

} // namespace Samphirepitch
