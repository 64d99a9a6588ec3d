#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <fcntl.h>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

bool
isSame(const std::string& a, const std::string& b)
{
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

std::string
find(const std::vector<std::pair<std::string, std::string>>& headers,
     const std::string& name)
{
  for (const auto& [key, value] : headers) {
    if (isSame(key, name)) {
      return value;
    }
  }
  return "";
}

std::string
percentDecoded(const std::string& text)
{
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

sockaddr_in
toSocketAddress(const Address& address)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

} // namespace

std::string
Request::header(const std::string& name) const
{
  return find(headers, name);
}

std::string
Request::query(const std::string& name) const
{
  const auto start = target.find('?');
  std::size_t at = start == std::string::npos ? target.size() : start + 1;
  while (at < target.size()) {
    const auto end = std::min(target.find('&', at), target.size());
    const auto pair = target.substr(at, end - at);
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string::npos) {
      return percentDecoded(pair.substr(equals + 1));
    }
    at = end + 1;
  }
  return "";
}

std::string
Response::header(const std::string& name) const
{
  return find(headers, name);
}

std::unique_ptr<Connection>
Connection::open(const Address& to, Millis timeout)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return nullptr;
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
  const auto address = toSocketAddress(to);
  int result = ::connect(
    fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (result < 0 && errno == EINPROGRESS) {
    pollfd wait{ fd, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    const bool isReady =
      ::poll(&wait, 1, static_cast<int>(timeout.count())) == 1;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    result = isReady && error == 0 ? 0 : -1;
  }
  if (result < 0) {
    ::close(fd);
    return nullptr;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return std::make_unique<Connection>(fd);
}

bool
Connection::write(const std::string& bytes)
{
  std::size_t sent = 0;
  const auto deadline = Clock::now() + std::chrono::seconds(20);
  while (sent < bytes.size() && mFd >= 0 && Clock::now() < deadline) {
    const auto count = ::send(
      mFd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
    } else if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      pollfd wait{ mFd, POLLOUT, 0 };
      ::poll(&wait, 1, 100);
    } else {
      return false;
    }
  }
  return sent == bytes.size();
}

bool
Connection::fill(Clock::time_point deadline)
{
  for (;;) {
    if (mFd < 0) {
      return false;
    }
    const auto left =
      std::chrono::duration_cast<Millis>(deadline - Clock::now()).count();
    if (left <= 0) {
      mError = "timeout";
      return false;
    }
    pollfd wait{ mFd, POLLIN, 0 };
    if (::poll(&wait, 1, static_cast<int>(std::min<long>(left, 200))) < 1) {
      continue;
    }
    char bytes[16384];
    const auto count = ::recv(mFd, bytes, sizeof bytes, 0);
    if (count > 0) {
      mBuffer.append(bytes, static_cast<std::size_t>(count));
      return true;
    }
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
      continue;
    }
    mError = count == 0 ? "closed" : std::strerror(errno);
    return false;
  }
}

bool
Connection::readLine(std::string& line, Clock::time_point deadline)
{
  for (;;) {
    const auto end = mBuffer.find("\r\n");
    if (end != std::string::npos) {
      line = mBuffer.substr(0, end);
      mBuffer.erase(0, end + 2);
      return true;
    }
    if (!fill(deadline)) {
      return false;
    }
  }
}

bool
Connection::readExactly(std::string& out,
                        std::size_t size,
                        Clock::time_point end)
{
  while (mBuffer.size() < size) {
    if (!fill(end)) {
      return false;
    }
  }
  out += mBuffer.substr(0, size);
  mBuffer.erase(0, size);
  return true;
}

bool
Connection::readRequest(Request& request, Millis timeout)
{
  const auto end = Clock::now() + timeout;
  std::string line;
  if (!readLine(line, end)) {
    return false;
  }
  request = {};
  const auto first = line.find(' ');
  const auto last = line.rfind(' ');
  request.method = line.substr(0, first);
  request.target = first < last ? line.substr(first + 1, last - first - 1) : "";
  while (readLine(line, end) && !line.empty()) {
    const auto colon = line.find(':');
    auto value = colon == std::string::npos ? "" : line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    request.headers.emplace_back(line.substr(0, colon), value);
  }
  const auto length = request.header("Content-Length");
  if (!length.empty()) {
    return readExactly(request.body, std::stoul(length), end);
  }
  if (isSame(request.header("Transfer-Encoding"), "chunked")) {
    for (;;) {
      if (!readLine(line, end)) {
        return false;
      }
      const auto size = std::stoul(line, nullptr, 16);
      if (size == 0) {
        return readLine(line, end);
      }
      if (!readExactly(request.body, size, end) || !readLine(line, end)) {
        return false;
      }
    }
  }
  return true;
}

Response
Connection::readResponse(Millis timeout)
{
  const auto end = Clock::now() + timeout;
  Response response;
  Response failed;
  std::string line;
  const auto fail = [&] {
    failed.error = mError.empty() ? "broken" : mError;
    return failed;
  };
  if (!readLine(line, end)) {
    return fail();
  }
  const int status = line.size() > 12 ? std::atoi(line.c_str() + 9) : 0;
  while (readLine(line, end) && !line.empty()) {
    const auto colon = line.find(':');
    auto value = colon == std::string::npos ? "" : line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    response.headers.emplace_back(line.substr(0, colon), value);
  }
  const auto length = response.header("Content-Length");
  bool isComplete = false;
  if (!length.empty()) {
    isComplete = readExactly(response.body, std::stoul(length), end);
  } else if (isSame(response.header("Transfer-Encoding"), "chunked")) {
    while (readLine(line, end)) {
      const auto size = std::stoul(line, nullptr, 16);
      if (size == 0) {
        isComplete = readLine(line, end);
        break;
      }
      if (!readExactly(response.body, size, end) || !readLine(line, end)) {
        break;
      }
    }
  } else {
    while (fill(end)) {
    }
    response.body = mBuffer;
    isComplete = mError == "closed";
  }
  if (!isComplete) {
    return fail();
  }
  response.status = status;
  return response;
}

bool
Connection::isClosed() const
{
  char byte = 0;
  const auto count = ::recv(mFd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void
Connection::close()
{
  if (mFd >= 0) {
    ::close(mFd);
    mFd = -1;
  }
}

Server::Server(const std::string& ip, Handler handler)
  : mHandler(std::move(handler))
{
  mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = toSocketAddress({ ip, 0 });
  ::bind(mListener, reinterpret_cast<sockaddr*>(&address), sizeof address);
  ::listen(mListener, 512);
  socklen_t size = sizeof address;
  ::getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
  mAddress = { ip, ntohs(address.sin_port) };
  std::thread([this] {
    ++mThreads;
    acceptLoop();
    --mThreads;
  }).detach();
}

Server::~Server()
{
  mIsStopped = true;
  {
    const std::lock_guard lock(mMutex);
    for (const int fd : mOpen) {
      ::shutdown(fd, SHUT_RDWR);
    }
  }
  while (mThreads > 0) {
    std::this_thread::sleep_for(Millis(5));
  }
  ::close(mListener);
}

void
Server::acceptLoop()
{
  while (!mIsStopped) {
    pollfd wait{ mListener, POLLIN, 0 };
    if (::poll(&wait, 1, 50) < 1) {
      continue;
    }
    const int fd = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    {
      const std::lock_guard lock(mMutex);
      mOpen.insert(fd);
    }
    ++mThreads;
    std::thread([this, fd] {
      {
        Connection connection(fd);
        Request request;
        while (!mIsStopped &&
               connection.readRequest(request, std::chrono::seconds(130)) &&
               mHandler(request, connection)) {
        }
        const std::lock_guard lock(mMutex);
        mOpen.erase(fd);
      }
      --mThreads;
    }).detach();
  }
}

std::string
formatResponse(int status,
               const std::string& body,
               const std::vector<std::pair<std::string, std::string>>& headers,
               const std::string& contentType)
{
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Type: " + contentType +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string
formatRequest(const Request& request, const std::string& host)
{
  std::string text =
    request.method + " " + request.target + " HTTP/1.1\r\nHost: " + host +
    "\r\n";
  for (const auto& [name, value] : request.headers) {
    text += name + ": " + value + "\r\n";
  }
  if (!request.body.empty() || request.method == "POST") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return text + "\r\n" + request.body;
}

Response
call(const Address& to,
     const Request& request,
     const std::string& host,
     Millis timeout)
{
  const auto connection =
    Connection::open(to, std::min(timeout, Millis(1'000)));
  if (!connection) {
    Response failed;
    failed.error = "no connection";
    return failed;
  }
  if (!connection->write(formatRequest(request, host))) {
    Response failed;
    failed.error = "not sent";
    return failed;
  }
  return connection->readResponse(timeout);
}

namespace {
const std::string kAlphabet =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
}

std::string
encodeBase64(const std::string& bytes)
{
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const auto at = [&](std::size_t j) {
      return j < bytes.size() ? static_cast<unsigned char>(bytes[j]) : 0U;
    };
    const unsigned value = at(i) << 16U | at(i + 1) << 8U | at(i + 2);
    out += kAlphabet[value >> 18U & 63U];
    out += kAlphabet[value >> 12U & 63U];
    out += i + 1 < bytes.size() ? kAlphabet[value >> 6U & 63U] : '=';
    out += i + 2 < bytes.size() ? kAlphabet[value & 63U] : '=';
  }
  return out;
}

std::string
decodeBase64(const std::string& text)
{
  static const auto kTable = [] {
    std::vector<int> table(256, -1);
    for (int i = 0; i < 64; ++i) {
      table[static_cast<unsigned char>(kAlphabet[i])] = i;
    }
    return table;
  }();
  std::string out;
  unsigned value = 0;
  int bits = 0;
  for (const unsigned char c : text) {
    if (kTable[c] < 0) {
      continue;
    }
    value = value << 6U | static_cast<unsigned>(kTable[c]);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(value >> static_cast<unsigned>(bits) & 255U);
    }
  }
  return out;
}

std::int64_t
unixMillis()
{
  return std::chrono::duration_cast<Millis>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace review
