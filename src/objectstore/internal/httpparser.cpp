#include "objectstore/internal/httpparser.h"

#include <limits>
#include <utility>

namespace Samphirepitch
{

HttpParser::HttpParser(http_parser_type type, const HttpLimits &limits)
    : m_limits(limits)
{
    http_parser_init(&m_parser, type);
    m_parser.data = this;
}

Result<std::size_t> HttpParser::feed(std::string_view bytes)
{
    m_started = m_started || !bytes.empty();
    const std::size_t consumed = http_parser_execute(&m_parser, &settings(), bytes.data(), bytes.size());
    if (const auto checked = status(); !checked) {
        return tl::unexpected(checked.error());
    }
    return consumed;
}

Result<void> HttpParser::finish()
{
    http_parser_execute(&m_parser, &settings(), nullptr, 0);
    if (const auto checked = status(); !checked) {
        return checked;
    }
    if (!m_complete) {
        return failure(ErrorKind::Malformed, "http", "the stream ended before the end of the message");
    }
    return {};
}

Result<void> HttpParser::status() const
{
    if (m_rejection) {
        return tl::unexpected(*m_rejection);
    }
    const http_errno code = HTTP_PARSER_ERRNO(&m_parser);
    if (code != HPE_OK && code != HPE_PAUSED) {
        return failure(ErrorKind::Malformed, "http", http_errno_description(code));
    }
    if (m_parser.upgrade) {
        return failure(ErrorKind::Malformed, "http", "protocol upgrades are not supported");
    }
    return {};
}

bool HttpParser::hasStarted() const
{
    return m_started;
}

bool HttpParser::isComplete() const
{
    return m_complete;
}

bool HttpParser::shouldKeepAlive() const
{
    return m_keepAlive;
}

HttpRequest HttpParser::takeRequest()
{
    HttpRequest request;
    request.method = http_method_str(static_cast<http_method>(m_parser.method));
    request.target = std::move(m_target);
    request.headers = std::move(m_headers);
    request.body = std::move(m_body);
    return request;
}

HttpResponse HttpParser::takeResponse()
{
    HttpResponse response;
    response.status = static_cast<int>(m_parser.status_code);
    response.headers = std::move(m_headers);
    response.body = std::move(m_body);
    return response;
}

HttpParser &HttpParser::self(http_parser *parser)
{
    return *static_cast<HttpParser *>(parser->data);
}

int HttpParser::reject(ErrorKind kind, std::string detail)
{
    m_rejection = Error(kind, "http", std::move(detail));
    return -1;
}

int HttpParser::appendHeaderBytes(std::string &target, const char *at, std::size_t length)
{
    m_headerSize += length;
    if (m_headerSize > m_limits.maxHeaderSize) {
        return reject(ErrorKind::TooLarge, "the header is larger than " + std::to_string(m_limits.maxHeaderSize) + " bytes");
    }
    target.append(at, length);
    return 0;
}

void HttpParser::finishField()
{
    if (m_inValue) {
        m_headers.add(m_name, std::exchange(m_value, {}));
        m_name.clear();
        m_inValue = false;
    }
}

int HttpParser::onUrl(http_parser *parser, const char *at, std::size_t length)
{
    HttpParser &reader = self(parser);
    return reader.appendHeaderBytes(reader.m_target, at, length);
}

int HttpParser::onHeaderField(http_parser *parser, const char *at, std::size_t length)
{
    HttpParser &reader = self(parser);
    reader.finishField();
    if (reader.m_headers.fields().size() >= reader.m_limits.maxHeaderCount) {
        return reader.reject(ErrorKind::TooLarge, "the header has more than " + std::to_string(reader.m_limits.maxHeaderCount) + " fields");
    }
    return reader.appendHeaderBytes(reader.m_name, at, length);
}

int HttpParser::onHeaderValue(http_parser *parser, const char *at, std::size_t length)
{
    HttpParser &reader = self(parser);
    reader.m_inValue = true;
    return reader.appendHeaderBytes(reader.m_value, at, length);
}

int HttpParser::onHeadersComplete(http_parser *parser)
{
    HttpParser &reader = self(parser);
    reader.finishField();
    const bool hasLength = parser->content_length != std::numeric_limits<std::uint64_t>::max();
    if (hasLength && parser->content_length > reader.m_limits.maxBodySize) {
        return reader.reject(ErrorKind::TooLarge, "the body is larger than " + std::to_string(reader.m_limits.maxBodySize) + " bytes");
    }
    return 0;
}

int HttpParser::onBody(http_parser *parser, const char *at, std::size_t length)
{
    HttpParser &reader = self(parser);
    if (length > reader.m_limits.maxBodySize - reader.m_body.size()) {
        return reader.reject(ErrorKind::TooLarge, "the body is larger than " + std::to_string(reader.m_limits.maxBodySize) + " bytes");
    }
    reader.m_body.append(at, length);
    return 0;
}

int HttpParser::onMessageComplete(http_parser *parser)
{
    HttpParser &reader = self(parser);
    reader.finishField();
    reader.m_complete = true;
    reader.m_keepAlive = http_should_keep_alive(parser) != 0;
    // Pausing the parser leaves the bytes of the next message unconsumed.
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings &HttpParser::settings()
{
    static const http_parser_settings callbacks = [] {
        http_parser_settings value;
        http_parser_settings_init(&value);
        value.on_url = onUrl;
        value.on_header_field = onHeaderField;
        value.on_header_value = onHeaderValue;
        value.on_headers_complete = onHeadersComplete;
        value.on_body = onBody;
        value.on_message_complete = onMessageComplete;
        return value;
    }();
    return callbacks;
}

} // namespace Samphirepitch
