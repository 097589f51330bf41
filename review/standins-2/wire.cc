// Sockets, messages and encodings of the stand-ins.

#include "review/standins-2/wire.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <cstring>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace medlarspread::review {

namespace {

constexpr const char* kBase64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

sockaddr_in MakeAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

int Connect(const std::string& address) {
  const auto colon = address.rfind(':');
  const sockaddr_in peer = MakeAddress(address.substr(0, colon),
                                       std::atoi(address.c_str() + colon + 1));
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto* generic = reinterpret_cast<const sockaddr*>(&peer);
  if (connect(handle, generic, sizeof(peer)) != 0) {
    close(handle);
    return -1;
  }
  const int one = 1;
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return handle;
}

// Appends received bytes. Returns false at the end or when the time is up.
bool Receive(int handle, std::string& buffer, std::optional<Time> until) {
  int wait = -1;
  if (until) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(*until - SteadyClock::now());
    wait = std::max(0, static_cast<int>(left.count()));
  }
  pollfd row{handle, POLLIN, 0};
  if (poll(&row, 1, wait) <= 0) {
    return false;
  }
  char bytes[16384];
  const ssize_t size = recv(handle, bytes, sizeof(bytes), 0);
  if (size <= 0) {
    return false;
  }
  buffer.append(bytes, static_cast<std::size_t>(size));
  return true;
}

bool AreEqualNames(const std::string& left, const std::string& right) {
  return strcasecmp(left.c_str(), right.c_str()) == 0;
}

Message ParseHead(const std::string& head) {
  Message message;
  std::size_t at = 0;
  while (at < head.size()) {
    const std::size_t end = head.find("\r\n", at);
    const std::string line = head.substr(at, end - at);
    at = end == std::string::npos ? head.size() : end + 2;
    const std::size_t colon = line.find(':');
    if (message.start_line.empty()) {
      message.start_line = line;
    } else if (colon != std::string::npos) {
      const std::size_t first = line.find_first_not_of(' ', colon + 1);
      message.fields.emplace_back(
          line.substr(0, colon),
          first == std::string::npos ? "" : line.substr(first));
    }
  }
  return message;
}

class JsonReader {
 public:
  explicit JsonReader(const std::string& text) : text_(text) {}

  Json Read() {
    SkipSpace();
    Json json;
    if (Take('{')) {
      json.kind = Json::Kind::kObject;
      while (!Take('}') && at_ < text_.size()) {
        const std::string name = ReadText();
        Take(':');
        json.fields[name] = Read();
        Take(',');
      }
    } else if (Take('[')) {
      json.kind = Json::Kind::kArray;
      while (!Take(']') && at_ < text_.size()) {
        json.items.push_back(Read());
        Take(',');
      }
    } else if (at_ < text_.size() && text_[at_] == '"') {
      json.kind = Json::Kind::kText;
      json.text = ReadText();
    } else {
      json.kind = Json::Kind::kNumber;
      const std::size_t end = text_.find_first_of(",]} \n", at_);
      json.number = std::atoll(text_.substr(at_, end - at_).c_str());
      at_ = std::min(end, text_.size());
    }
    return json;
  }

 private:
  void SkipSpace() {
    while (at_ < text_.size() && std::isspace(text_[at_]) != 0) {
      ++at_;
    }
  }

  bool Take(char wanted) {
    SkipSpace();
    if (at_ < text_.size() && text_[at_] == wanted) {
      ++at_;
      SkipSpace();
      return true;
    }
    return false;
  }

  std::string ReadText() {
    std::string value;
    for (++at_; at_ < text_.size() && text_[at_] != '"'; ++at_) {
      if (text_[at_] == '\\') {
        ++at_;
      }
      value += text_[at_];
    }
    ++at_;
    return value;
  }

  const std::string& text_;
  std::size_t at_ = 0;
};

}  // namespace

std::string Message::Field(const std::string& name) const {
  for (const auto& [each, value] : fields) {
    if (AreEqualNames(each, name)) {
      return value;
    }
  }
  return "";
}

std::string Message::SecondWord() const {
  const std::size_t first = start_line.find(' ');
  if (first == std::string::npos) {
    return "";
  }
  return start_line.substr(first + 1,
                           start_line.find(' ', first + 1) - first - 1);
}

std::optional<Message> ReadMessage(int handle,
                                   std::string& buffer,
                                   std::optional<Time> until) {
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Receive(handle, buffer, until)) {
      return std::nullopt;
    }
  }
  Message message = ParseHead(buffer.substr(0, end));
  buffer.erase(0, end + 4);
  const auto size = static_cast<std::size_t>(
      std::atoll(message.Field("Content-Length").c_str()));
  while (buffer.size() < size) {
    if (!Receive(handle, buffer, until)) {
      return std::nullopt;
    }
  }
  message.body = buffer.substr(0, size);
  buffer.erase(0, size);
  return message;
}

bool Send(int handle, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        send(handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

bool IsClosedByPeer(int handle) {
  char byte = 0;
  const ssize_t size = recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Reset(int handle) {
  const linger abort{1, 0};
  setsockopt(handle, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  close(handle);
}

std::string MakeResponse(
    int status,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
  for (const auto& [name, value] : fields) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

int FindFreePort(const std::string& ip) {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = MakeAddress(ip, 0);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof(address);
  const bool is_bound = bind(handle, generic, sizeof(address)) == 0 &&
                        getsockname(handle, generic, &size) == 0;
  close(handle);
  return is_bound ? ntohs(address.sin_port) : 0;
}

Listener::Listener(const std::string& ip, std::function<void(int)> serve)
    : ip_(ip) {
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = MakeAddress(ip, 0);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof(address);
  constexpr int kBacklog = 256;
  if (bind(socket_, generic, sizeof(address)) != 0 ||
      listen(socket_, kBacklog) != 0) {
    return;
  }
  getsockname(socket_, generic, &size);
  port_ = ntohs(address.sin_port);
  std::thread([handle = socket_, serve = std::move(serve)] {
    while (true) {
      const int accepted = accept4(handle, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        return;
      }
      const int one = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      std::thread([serve, accepted] { serve(accepted); }).detach();
    }
  }).detach();
}

std::string Listener::address() const {
  return ip_ + ":" + std::to_string(port_);
}

void Listener::Stop() {
  shutdown(socket_, SHUT_RDWR);
  close(socket_);
}

ClientConnection::ClientConnection(std::string address)
    : address_(std::move(address)) {}

ClientConnection::~ClientConnection() {
  Close();
}

std::optional<Message> ClientConnection::Call(const std::string& request,
                                              milliseconds timeout) {
  if (socket_ < 0) {
    socket_ = Connect(address_);
    buffer_.clear();
  }
  if (socket_ < 0) {
    return std::nullopt;
  }
  std::optional<Message> response;
  if (Send(socket_, request)) {
    response = ReadMessage(socket_, buffer_, SteadyClock::now() + timeout);
  }
  if (!response || AreEqualNames(response->Field("Connection"), "close")) {
    Close();
  }
  return response;
}

void ClientConnection::Close() {
  if (socket_ >= 0) {
    close(socket_);
  }
  socket_ = -1;
}

const Json& Json::at(const std::string& name) const {
  static const Json kNone;
  const auto row = fields.find(name);
  return row == fields.end() ? kNone : row->second;
}

Json ParseJson(const std::string& text) {
  return JsonReader(text).Read();
}

std::string EncodeBase64(const std::string& bytes) {
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
    std::uint32_t group = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      const unsigned char byte =
          index < count ? static_cast<unsigned char>(bytes[at + index]) : 0;
      group = group << 8 | byte;
    }
    for (std::size_t index = 0; index < 4; ++index) {
      const std::uint32_t digit = group >> (18 - 6 * index) & 63;
      text += index <= count ? kBase64Digits[digit] : '=';
    }
  }
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char digit : text) {
    const char* place = std::strchr(kBase64Digits, digit);
    if (place == nullptr || digit == '\0') {
      break;
    }
    group = group << 6 | static_cast<std::uint32_t>(place - kBase64Digits);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 255);
    }
  }
  return bytes;
}

std::map<std::string, std::string> ParametersOf(const std::string& target) {
  std::map<std::string, std::string> parameters;
  const std::size_t start = target.find('?');
  std::size_t at = start == std::string::npos ? target.size() : start + 1;
  while (at < target.size()) {
    const std::size_t end = std::min(target.find('&', at), target.size());
    const std::string pair = target.substr(at, end - at);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    std::string value;
    for (std::size_t index = equals + 1; index < pair.size(); ++index) {
      if (pair[index] == '%' && index + 2 < pair.size()) {
        value += static_cast<char>(
            std::strtol(pair.substr(index + 1, 2).c_str(), nullptr, 16));
        index += 2;
      } else {
        value += pair[index];
      }
    }
    parameters[pair.substr(0, equals)] = value;
    at = end + 1;
  }
  return parameters;
}

}  // namespace medlarspread::review
