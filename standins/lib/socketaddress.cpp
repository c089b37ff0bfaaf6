#include "lib/socketaddress.h"

#include <arpa/inet.h>

namespace Samphirepitch::StandIn
{

sockaddr_in toSocketAddress(Endpoint endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address());
    address.sin_port = htons(endpoint.port());
    return address;
}

Endpoint fromSocketAddress(const sockaddr_in &address)
{
    return Endpoint(ntohl(address.sin_addr.s_addr), ntohs(address.sin_port));
}

} // namespace Samphirepitch::StandIn
