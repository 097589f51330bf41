// Blocking HTTP/1.1 for the stand-ins: one thread for each connection.

#ifndef MEDLARSPREAD_REVIEW_STANDINS_HTTP_H_
#define MEDLARSPREAD_REVIEW_STANDINS_HTTP_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace medlarspread::review {

// A request or a response. Header names are in lower case.
struct Message {
  // "GET /path HTTP/1.1" or "HTTP/1.1 200 OK".
  std::string start_line;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string method() const;
  std::string target() const;
  int status() const;
  std::string header(const std::string& name) const;
};

// The bytes of a response with a Content-Length.
std::string FormatResponse(
    int status,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body);

// A connected socket; closes it when destroyed.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  Connection(Connection&& other) noexcept;
  Connection& operator=(Connection&& other) noexcept;
  ~Connection();

  // Absent if the peer refuses or does not accept within the time.
  static std::optional<Connection> Open(int port, int timeout_ms);

  // Absent at the end of the connection, and after `timeout_ms` without bytes.
  // A message without a length has no body unless `reads_to_end`.
  std::optional<Message> Read(int timeout_ms, bool reads_to_end = false);
  bool Write(const std::string& bytes);
  // Whether the peer has closed or reset the connection.
  bool is_closed_by_peer() const;
  // Closes the connection with a reset instead of an orderly end.
  void Reset();

 private:
  // Waits for bytes and appends them to `buffer_`.
  bool Fill(int timeout_ms);

  int socket_;
  std::string buffer_;
};

// Accepts connections on 127.0.0.1 and runs `serve` for each in a thread.
// Returns the port; `port` may be 0. The listener runs until the process ends.
int Listen(int port, std::function<void(Connection&)> serve);

// Splits a target into the path and its decoded query parameters.
std::pair<std::string, std::map<std::string, std::string>> ParseTarget(
    const std::string& target);

}  // namespace medlarspread::review

#endif  // MEDLARSPREAD_REVIEW_STANDINS_HTTP_H_
