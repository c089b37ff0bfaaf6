#pragma once

#include "core/endpoint.h"
#include "core/error.h"
#include "objectstore/httphandler.h"
#include "objectstore/httplimits.h"

#include <asio/any_io_executor.hpp>

#include <memory>

namespace Samphirepitch
{

/** An HTTP/1.1 server that runs one coroutine for each connection. */
class HttpServer
{
public:
    /**
     * Creates a server that listens on @p address.
     * @param executor executor of all operations; must be single-threaded
     * @param address address to bind; port 0 selects a free port
     * @param handler must outlive the executor's last operation
     * @param limits limits and timeouts of the connections
     * @return the server; InputOutput if the address cannot be bound
     */
    static Result<std::unique_ptr<HttpServer>> listen(
        asio::any_io_executor executor, Endpoint address, HttpHandler &handler, const HttpLimits &limits = {});

    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Returns the bound address, with the actual port. */
    Endpoint address() const;

    /** Returns the number of open connections. */
    std::size_t connectionCount() const;

    /** Closes the listener and all connections. The handler is not called afterwards. */
    void stop();

private:
    class State;

    explicit HttpServer(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace Samphirepitch
