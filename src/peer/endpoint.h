// Reads "ip:port" texts, as they stand in settings and in the VM list.

#ifndef MEDLARSPREAD_PEER_ENDPOINT_H_
#define MEDLARSPREAD_PEER_ENDPOINT_H_

#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "src/base/result.h"

namespace medlarspread::peer {

// Errors: kInvalidArgument. Names are not resolved: VMs talk by IP numbers.
base::Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address);

std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace medlarspread::peer

#endif  // MEDLARSPREAD_PEER_ENDPOINT_H_
