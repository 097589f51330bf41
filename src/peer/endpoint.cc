// Uses Boost.Asio's address parser and checks the port.

#include "src/peer/endpoint.h"

#include <cstdint>

namespace medlarspread::peer {

using boost::asio::ip::tcp;

base::Result<tcp::endpoint> ParseEndpoint(const std::string& address) {
  const auto invalid = [&address] {
    return base::MakeError(base::ErrorCode::kInvalidArgument,
                           base::Step::kPeerLink, address,
                           "not an ip:port address");
  };
  const auto colon = address.rfind(':');
  if (colon == std::string::npos || colon + 1 == address.size()) {
    return invalid();
  }
  boost::system::error_code error;
  const auto ip =
      boost::asio::ip::make_address(address.substr(0, colon), error);
  constexpr std::size_t kMaxPortDigits = 5;
  const std::string port = address.substr(colon + 1);
  if (error || port.size() > kMaxPortDigits ||
      port.find_first_not_of("0123456789") != std::string::npos) {
    return invalid();
  }
  const int number = std::stoi(port);
  if (number > UINT16_MAX) {
    return invalid();
  }
  return tcp::endpoint(ip, static_cast<std::uint16_t>(number));
}

std::string FormatEndpoint(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace medlarspread::peer
