#pragma once

#include "core/error.h"
#include "objectstore/httplimits.h"
#include "objectstore/httprequest.h"
#include "objectstore/httpresponse.h"

#include <http_parser.h>

#include <optional>

namespace Samphirepitch
{

/** Incremental parser of one HTTP message, based on libhttp-parser. It enforces the limits as the bytes arrive. */
class HttpParser
{
public:
    HttpParser(http_parser_type type, const HttpLimits &limits);
    HttpParser(const HttpParser &) = delete;
    HttpParser &operator=(const HttpParser &) = delete;

    /**
     * Parses the next bytes of the stream. Parsing stops at the end of the message.
     * @return the number of bytes consumed; Malformed if the bytes are not valid HTTP; TooLarge if they exceed the limits
     */
    Result<std::size_t> feed(std::string_view bytes);

    /** Handles the end of the stream. @return Malformed if the message is not complete */
    Result<void> finish();

    bool hasStarted() const;
    bool isComplete() const;

    /** Returns whether the connection stays open after this message. */
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
