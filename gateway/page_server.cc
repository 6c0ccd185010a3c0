#include "gateway/page_server.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>

#include "daemon/request_parser.h"
#include "gateway/acceptor.h"
#include "gateway/clock.h"
#include "gateway/gateway_core.h"

namespace fuchsiadrum::gateway {
namespace {

namespace http = boost::beast::http;
using serving::ClientPhase;

/// Time limit for one request and its answer, including the idle time before
/// the request; the connection is closed after it.
constexpr Duration kPageIdleTimeout = std::chrono::seconds(15);
/// Requests for pages have a few fields and no body.
constexpr daemon::RequestBounds kBounds = {
    .head_bytes = 8192, .fields = 64, .body_bytes = 0};
/// Balancers and monitoring systems send a request as soon as they are
/// connected. A page is small, so that its client takes it at once.
constexpr serving::ClientQueueOptions kQueueOptions = {
    .min_stall = std::chrono::milliseconds(20),
    .min_idle = Duration::zero(),
    .min_unread = Duration::zero()};

serving::ClientQueueOptions QueueOptions(const GatewayCore& core) {
  serving::ClientQueueOptions options = kQueueOptions;
  options.max_connections = core.LimitsOfClients().page_connections;
  return options;
}

/// One connection of a client; it serves requests until the client closes it.
class PageConnection : public Timed, public daemon::GatedClient {
 public:
  PageConnection(Tcp::socket accepted, daemon::ClientGate& client_gate)
      : socket(std::move(accepted)), gate(client_gate) {
    this->gate.Queue().Add(*this, Now());
  }
  ~PageConnection() override { this->gate.Queue().Remove(*this); }

  asio::awaitable<void> Run(const PageServer::Handler& handler,
                            ClientLimitLog& limit_log) {
    boost::beast::flat_buffer buffer;
    ErrorCode error;
    bool keep_alive = true;
    while (!error && keep_alive) {
      this->ExpireAt(Now() + kPageIdleTimeout);
      daemon::RequestParser reader(kBounds, buffer);
      const daemon::ParseStatus status =
          co_await this->Read(reader, buffer, error);
      if (status == daemon::ParseStatus::kRefused) {
        limit_log.Count(reader.Fault());
      }
      if (status != daemon::ParseStatus::kWhole) break;

      const auto& request = reader.Message();
      const auto target = request.target();
      PageServer::Page page =
          handler(std::string_view(target.data(), target.size()));
      http::response<http::string_body> response(
          static_cast<http::status>(page.status), request.version());
      response.set(http::field::content_type, "text/plain; version=0.0.4");
      keep_alive = request.keep_alive();
      response.keep_alive(keep_alive);
      response.body() = std::move(page.body);
      response.prepare_payload();
      this->gate.Queue().SetPhase(*this, ClientPhase::kUnread, Now());
      co_await http::async_write(
          this->socket, response,
          asio::redirect_error(asio::use_awaitable, error));
      this->gate.Queue().SetPhase(*this, ClientPhase::kIdle, Now());
    }
    this->CloseForOthers();
  }

  bool HasUnreadBytes() override {
    ErrorCode error;
    return this->socket.is_open() && this->socket.available(error) > 0;
  }
  void CloseForOthers() override {
    this->gate.Queue().Remove(*this);
    ErrorCode ignored;
    this->socket.close(ignored);
  }

 protected:
  void OnExpired() override { this->CloseForOthers(); }

 private:
  /// Reads a request. Returns kWhole, kRefused, or kMore if the connection
  /// ends before.
  asio::awaitable<daemon::ParseStatus> Read(daemon::RequestParser& reader,
                                            boost::beast::flat_buffer& buffer,
                                            ErrorCode& error) {
    daemon::ParseStatus status = reader.Parse();
    if (status == daemon::ParseStatus::kHead) status = reader.Parse();
    while (status == daemon::ParseStatus::kMore) {
      const auto space = buffer.prepare(reader.ReadBytes());
      const size_t bytes = co_await this->socket.async_read_some(
          space, asio::redirect_error(asio::use_awaitable, error));
      if (error) break;
      buffer.commit(bytes);
      this->gate.Queue().OnBytes(*this, bytes, Now());
      status = reader.Parse();
      if (status == daemon::ParseStatus::kHead) status = reader.Parse();
    }
    co_return status;
  }

  Tcp::socket socket;
  daemon::ClientGate& gate;
};

}  // namespace

PageServer::PageServer(asio::io_context& io_context, GatewayCore& gateway_core,
                       Handler page_handler)
    : context(io_context),
      core(gateway_core),
      handler(std::move(page_handler)),
      gate(QueueOptions(gateway_core),
           [this](auto action) { this->core.LimitLog().Count(action); }),
      acceptor(io_context) {}

std::string PageServer::Open(const std::string& address) {
  std::string reason = OpenAcceptor(this->acceptor, address);
  if (reason.empty()) {
    asio::co_spawn(
        this->context,
        AcceptAll(
            this->acceptor,
            [this](Tcp::socket socket) { this->Serve(std::move(socket)); },
            [this] { this->gate.OnAcceptFailure(Now()); }),
        asio::detached);
  }
  return reason;
}

void PageServer::Serve(Tcp::socket socket) {
  // All connections are about to be answered only if their clients ask without
  // a pause; closing the new one tells the client enough.
  if (!this->gate.MakeRoom(Now())) return;
  auto connection =
      std::make_shared<PageConnection>(std::move(socket), this->gate);
  this->core.Timeouts().Watch(*connection);
  asio::co_spawn(
      this->context,
      [connection, this]() -> asio::awaitable<void> {
        co_await connection->Run(this->handler, this->core.LimitLog());
      },
      asio::detached);
}

}  // namespace fuchsiadrum::gateway
