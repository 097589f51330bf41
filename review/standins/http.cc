// Blocking sockets and a parser for messages with a length or in chunks.

#include "review/standins/http.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <thread>

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace medlarspread::review {

namespace {

constexpr int kBacklog = 512;

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::string Trim(const std::string& text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string::npos) {
    return "";
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// The word at that place of a line.
std::string Word(const std::string& line, int index) {
  std::size_t begin = 0;
  for (int skipped = 0; skipped < index; ++skipped) {
    const auto space = line.find(' ', begin);
    if (space == std::string::npos) {
      return "";
    }
    begin = space + 1;
  }
  return line.substr(begin, line.find(' ', begin) - begin);
}

Message ParseHead(const std::string& head) {
  Message message;
  std::size_t begin = 0;
  bool is_first = true;
  while (begin < head.size()) {
    const auto end = std::min(head.find("\r\n", begin), head.size());
    const std::string line = head.substr(begin, end - begin);
    begin = end + 2;
    if (is_first) {
      message.start_line = line;
      is_first = false;
      continue;
    }
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      message.headers[ToLower(line.substr(0, colon))] =
          Trim(line.substr(colon + 1));
    }
  }
  return message;
}

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string DecodePercent(const std::string& text) {
  std::string decoded;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      decoded += static_cast<char>(
          std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
      at += 2;
    } else {
      decoded += text[at];
    }
  }
  return decoded;
}

}  // namespace

std::string Message::method() const {
  return Word(start_line, 0);
}

std::string Message::target() const {
  return Word(start_line, 1);
}

int Message::status() const {
  return std::atoi(Word(start_line, 1).c_str());
}

std::string Message::header(const std::string& name) const {
  const auto row = headers.find(name);
  return row == headers.end() ? "" : row->second;
}

std::string FormatResponse(
    int status,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

Connection::Connection(Connection&& other) noexcept
    : socket_(std::exchange(other.socket_, -1)),
      buffer_(std::move(other.buffer_)) {}

Connection& Connection::operator=(Connection&& other) noexcept {
  std::swap(socket_, other.socket_);
  std::swap(buffer_, other.buffer_);
  return *this;
}

Connection::~Connection() {
  if (socket_ >= 0) {
    close(socket_);
  }
}

std::optional<Connection> Connection::Open(int port, int timeout_ms) {
  Connection connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = Loopback(port);
  const int flags = fcntl(connection.socket_, F_GETFL);
  fcntl(connection.socket_, F_SETFL, flags | O_NONBLOCK);
  (void)connect(connection.socket_, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address));
  pollfd event{connection.socket_, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof(error);
  if (poll(&event, 1, timeout_ms) != 1 ||
      getsockopt(connection.socket_, SOL_SOCKET, SO_ERROR, &error, &size) !=
          0 ||
      error != 0) {
    return std::nullopt;
  }
  fcntl(connection.socket_, F_SETFL, flags);
  const int on = 1;
  setsockopt(connection.socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

bool Connection::Fill(int timeout_ms) {
  pollfd event{socket_, POLLIN, 0};
  if (poll(&event, 1, timeout_ms) != 1) {
    return false;
  }
  char bytes[65536];
  const ssize_t size = recv(socket_, bytes, sizeof(bytes), 0);
  if (size <= 0) {
    return false;
  }
  buffer_.append(bytes, static_cast<std::size_t>(size));
  return true;
}

std::optional<Message> Connection::Read(int timeout_ms, bool reads_to_end) {
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(timeout_ms)) {
      return std::nullopt;
    }
  }
  Message message = ParseHead(buffer_.substr(0, end));
  buffer_.erase(0, end + 4);
  if (message.headers.contains("content-length")) {
    const std::size_t size =
        std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      if (!Fill(timeout_ms)) {
        return std::nullopt;
      }
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
  } else if (reads_to_end) {
    while (Fill(timeout_ms)) {
    }
    message.body = std::exchange(buffer_, {});
  }
  return message;
}

bool Connection::Write(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

bool Connection::is_closed_by_peer() const {
  pollfd event{socket_, POLLIN, 0};
  if (poll(&event, 1, 0) != 1) {
    return false;
  }
  char byte = 0;
  return recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

void Connection::Reset() {
  const linger reset{1, 0};
  setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(std::exchange(socket_, -1));
}

int Listen(int port, std::function<void(Connection&)> serve) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(port);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(listener, kBacklog) != 0) {
    close(listener);
    return 0;
  }
  socklen_t size = sizeof(address);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  std::thread([listener, serve = std::move(serve)] {
    while (true) {
      const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      const int nodelay = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof(nodelay));
      std::thread([accepted, serve] {
        Connection connection(accepted);
        serve(connection);
      }).detach();
    }
  }).detach();
  return ntohs(address.sin_port);
}

std::pair<std::string, std::map<std::string, std::string>> ParseTarget(
    const std::string& target) {
  const auto mark = target.find('?');
  std::map<std::string, std::string> parameters;
  std::size_t begin = mark == std::string::npos ? target.size() : mark + 1;
  while (begin < target.size()) {
    const auto end = std::min(target.find('&', begin), target.size());
    const std::string pair = target.substr(begin, end - begin);
    const auto equals = std::min(pair.find('='), pair.size());
    parameters[pair.substr(0, equals)] =
        equals < pair.size() ? DecodePercent(pair.substr(equals + 1)) : "";
    begin = end + 1;
  }
  return {target.substr(0, mark), parameters};
}

}  // namespace medlarspread::review
