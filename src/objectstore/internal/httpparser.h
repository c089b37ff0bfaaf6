#pragma once

#include "core/error.h"
#include "objectstore/httplimits.h"
#include "objectstore/httprequest.h"
#include "objectstore/httpresponse.h"

#include <http_parser.h>

#include <optional>

namespace Samphirepitch
{

/** Parses one HTTP message with libhttp-parser and enforces the limits while the bytes arrive. */
class HttpParser
{
public:
    HttpParser(http_parser_type type, const HttpLimits &limits);
    HttpParser(const HttpParser &) = delete;
    HttpParser &operator=(const HttpParser &) = delete;

    /**
     * Parses the next bytes of the stream, up to the end of the message.
     * @return the number of bytes consumed, Malformed or TooLarge
     */
    Result<std::size_t> feed(std::string_view bytes);

    /** Tells the parser that the stream has ended. @return Malformed if the message is not complete */
    Result<void> finish();

    bool hasStarted() const;
    bool isComplete() const;

    /** Returns whether the connection can carry another message after this one. */
    bool shouldKeepAlive() const;

    HttpRequest takeRequest();
    HttpResponse takeResponse();

private:
    static HttpParser &self(http_parser *parser);
    static int onUrl(http_parser *parser, const char *at, std::size_t length);
    static int onHeaderField(http_parser *parser, const char *at, std::size_t length);
    static int onHeaderValue(http_parser *parser, const char *at, std::size_t length);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *at, std::size_t length);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &settings();

    int appendHeaderBytes(std::string &target, const char *at, std::size_t length);
    int reject(ErrorKind kind, std::string detail);
    void finishField();
    Result<void> status() const;

    HttpLimits m_limits;
    http_parser m_parser {};
    std::optional<Error> m_rejection;
    std::string m_target;
    std::string m_name;
    std::string m_value;
    HttpHeaders m_headers;
    std::string m_body;
    std::size_t m_headerSize = 0;
    bool m_inValue = false;
    bool m_started = false;
    bool m_complete = false;
    bool m_keepAlive = false;
};

} // namespace Samphirepitch
