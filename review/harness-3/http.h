#pragma once

// Small blocking HTTP/1.1 pieces for the stand-ins of the third review.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

struct Address
{
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

struct Request
{
  std::string method;
  std::string target;
  /// In the order received, names as sent.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string header(const std::string& name) const;
  std::string path() const { return target.substr(0, target.find('?')); }
  std::string query(const std::string& name) const;
};

struct Response
{
  /// 0 if there was no complete response.
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string error;

  std::string header(const std::string& name) const;
};

/// A connected socket with a read buffer. Reads end at the deadline.
class Connection
{
public:
  explicit Connection(int fd)
    : mFd(fd)
  {
  }
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Connects from a loopback address; null on failure.
  static std::unique_ptr<Connection> open(const Address& to, Millis timeout);

  bool write(const std::string& bytes);
  bool readRequest(Request& request, Millis timeout);
  Response readResponse(Millis timeout);
  /// Returns true if the other side has closed the connection.
  bool isClosed() const;
  void close();

private:
  bool fill(Clock::time_point deadline);
  bool readLine(std::string& line, Clock::time_point deadline);
  bool readExactly(std::string& out, std::size_t size, Clock::time_point end);

  int mFd;
  std::string mBuffer;
  std::string mError;
};

/// Serves each connection in a thread of its own until it is destroyed.
class Server
{
public:
  /// Handles a request and writes the response itself. Returns false if the
  /// connection is to be closed.
  using Handler = std::function<bool(const Request&, Connection&)>;

  Server(const std::string& ip, Handler handler);
  ~Server();
  const Address& address() const { return mAddress; }

private:
  void acceptLoop();

  Handler mHandler;
  Address mAddress;
  int mListener = -1;
  std::atomic<bool> mIsStopped{ false };
  std::mutex mMutex;
  std::set<int> mOpen;
  std::atomic<int> mThreads{ 0 };
};

std::string
formatResponse(int status,
               const std::string& body,
               const std::vector<std::pair<std::string, std::string>>& headers,
               const std::string& contentType = "application/json");

std::string
formatRequest(const Request& request, const std::string& host);

/// Sends one request on a new connection.
Response
call(const Address& to,
     const Request& request,
     const std::string& host,
     Millis timeout);

std::string
encodeBase64(const std::string& bytes);
std::string
decodeBase64(const std::string& text);
std::int64_t
unixMillis();

} // namespace review
