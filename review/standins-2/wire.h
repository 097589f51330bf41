// Blocking HTTP/1.1 over loopback sockets, a JSON reader and base64, as far as
// the stand-ins need them.

#ifndef MEDLARSPREAD_REVIEW_STANDINS_2_WIRE_H_
#define MEDLARSPREAD_REVIEW_STANDINS_2_WIRE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace medlarspread::review {

using SteadyClock = std::chrono::steady_clock;
using Time = SteadyClock::time_point;
using std::chrono::milliseconds;

struct Message {
  // The request line or the status line.
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  // The value of the first field with that name; empty if there is none.
  std::string Field(const std::string& name) const;
  // The second word of the first line: the target or the status.
  std::string SecondWord() const;
};

// Reads one message. Absent if the connection ends or the time is up first.
std::optional<Message> ReadMessage(int socket,
                                   std::string& buffer,
                                   std::optional<Time> until);
// Whether all bytes were handed to the kernel.
bool Send(int socket, const std::string& bytes);
// Whether the other side has closed the connection.
bool IsClosedByPeer(int socket);
// Closes the connection with a reset.
void Reset(int socket);

std::string MakeResponse(
    int status,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body);

// A port that was free on that address a moment ago.
int FindFreePort(const std::string& ip);

// Accepts connections on a free port of the address and serves each on a thread
// of its own. `serve` owns the socket.
class Listener {
 public:
  Listener(const std::string& ip, std::function<void(int socket)> serve);

  std::string address() const;
  // Refuses connections from now on.
  void Stop();

 private:
  std::string ip_;
  int socket_ = -1;
  int port_ = 0;
};

// The client side of one connection; opens it again when it is gone.
class ClientConnection {
 public:
  explicit ClientConnection(std::string address);
  ~ClientConnection();

  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  // Sends the request and returns the response; absent if there is none.
  std::optional<Message> Call(const std::string& request, milliseconds timeout);

 private:
  void Close();

  const std::string address_;
  int socket_ = -1;
  std::string buffer_;
};

struct Json {
  enum class Kind { kNull, kText, kNumber, kArray, kObject };

  Kind kind = Kind::kNull;
  std::string text;
  std::int64_t number = 0;
  std::vector<Json> items;
  std::map<std::string, Json> fields;

  const Json& at(const std::string& name) const;
};

Json ParseJson(const std::string& text);

std::string EncodeBase64(const std::string& bytes);
std::string DecodeBase64(const std::string& text);

// The parameters of a target's query.
std::map<std::string, std::string> ParametersOf(const std::string& target);

}  // namespace medlarspread::review

#endif  // MEDLARSPREAD_REVIEW_STANDINS_2_WIRE_H_
