// Parses and formats the "ip:port" addresses of the settings and the VM list.

#ifndef MEDLARSPREAD_PEER_ENDPOINT_H_
#define MEDLARSPREAD_PEER_ENDPOINT_H_

#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "src/base/result.h"

namespace medlarspread::peer {

// Errors: kInvalidArgument. Host names are not resolved; VMs use IP addresses.
base::Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address);

std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace medlarspread::peer

#endif  // MEDLARSPREAD_PEER_ENDPOINT_H_
