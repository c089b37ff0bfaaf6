#include "objectstore/internal/tcplistener.h"

namespace Samphirepitch
{

std::error_code openListener(asio::ip::tcp::acceptor &acceptor, Endpoint address)
{
    const asio::ip::tcp::endpoint target(asio::ip::address_v4(address.address()), address.port());
    std::error_code error;
    acceptor.open(target.protocol(), error);
    if (!error) {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(target, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error;
}

} // namespace Samphirepitch
