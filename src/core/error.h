#pragma once

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace Samphirepitch
{

/** The kinds of error that the library reports. Calling code must branch on the kind, never on a text. */
enum class ErrorKind {
    InvalidArgument, /**< An argument has a value that is not allowed. */
    Malformed, /**< Input bytes or text do not follow the format. */
    TooLarge, /**< A length or count is above its stated limit. */
    NotFound, /**< The named object does not exist. */
    VersionConflict, /**< A conditional update found a version other than the expected one. */
    Unavailable, /**< The remote side cannot be used now; the call certainly had no effect. */
    RateLimited, /**< The remote side refused the call because of its rate limit; the call had no effect. */
    DeadlineExceeded, /**< The deadline passed; the call had no effect. */
    OutcomeUnknown, /**< The call was sent and no response arrived; it may have taken effect. */
    WrongDeployment, /**< The remote side belongs to another deployment. */
    UnsupportedVersion, /**< The remote side uses another protocol version. */
    Rejected, /**< Validation refused the input; the detail names the findings. */
    Stopped, /**< The component is shutting down. */
    InputOutput, /**< A system call failed. */
    Refused, /**< The remote host reported that nothing listens at the address. */
    HistoryGone, /**< The changes after the given revision are no longer kept; the caller must read the full state again. */
};

/** Returns the stable lower-case name of @p kind that logs and JSON use. */
std::string_view errorKindName(ErrorKind kind);

/** An error: its kind, the object that it concerns, and a detail for people. */
class Error
{
public:
    /**
     * @param kind the kind of failure
     * @param subject the object that the error concerns, such as a key, a file or an address
     * @param detail what was found, what is allowed, or what to do
     */
    Error(ErrorKind kind, std::string subject, std::string detail);

    ErrorKind kind() const;
    const std::string &subject() const;
    const std::string &detail() const;

    /** Returns kind, subject and detail as one line of text. */
    std::string describe() const;

    friend bool operator==(const Error &, const Error &) = default;

private:
    ErrorKind m_kind;
    std::string m_subject;
    std::string m_detail;
};

/** The value of a successful call, or the Error of a failed one. */
template<typename T>
using Result = tl::expected<T, Error>;

/** Returns an error that converts to a failed Result of any type; for the parameters see Error. */
tl::unexpected<Error> failure(ErrorKind kind, std::string subject, std::string detail);

} // namespace Samphirepitch
