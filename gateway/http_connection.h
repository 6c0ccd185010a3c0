#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/serving/link_load.h"
#include "gateway/asio.h"
#include "gateway/watchdog.h"
#include "platform/http_fields.h"

namespace fuchsiadrum::gateway {

/// Result of reading a part of a body.
enum class BodyPart {
  kMore,
  kEnd,     // the body is whole
  kBroken,  // the connection failed before the body was whole
};

/// Client side of one HTTP connection, to an upstream or to the store. One
/// request at a time; the request is sent while its answer is read, because the
/// other side may answer before it has read all. When the time set by ExpireAt
/// is over, the connection closes and the operation under way fails.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>,
                       public Timed {
 public:
  /// Bytes are counted in `link_load` unless that is null.
  explicit HttpConnection(asio::io_context& context,
                          serving::LinkLoad* link_load = nullptr);

  /// Connects to "IP:port"; false: it failed.
  asio::awaitable<bool> Connect(const std::string& address);
  /// Begins to send head and body.
  void StartSend(std::string head, std::shared_ptr<const std::string> body);
  /// Reads the head of the answer; nullptr: none came.
  asio::awaitable<const platform::HttpAnswerHead*> ReadHead();
  /// Appends some bytes of the body to `out`.
  asio::awaitable<BodyPart> ReadBody(std::string& out);

  /// True if the last answer was read whole, all of the request was sent, and
  /// neither bytes nor an end have come since.
  bool IsReusable();
  /// Longest time that sent bytes may stay unacknowledged.
  void SetAckTimeout(Duration time);
  void Close();

 protected:
  void OnExpired() override;

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  Tcp::socket socket;
  serving::LinkLoad* link;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  std::vector<char> chunk;
  std::string send_head;
  std::shared_ptr<const std::string> send_body;
  bool sending = false;
};

}  // namespace fuchsiadrum::gateway
