#include "daemon/admin_server.h"

#include <memory>
#include <utility>

#include "daemon/clock.h"

namespace fuchsiadrum::daemon {
namespace {

constexpr Duration kAliveWithin = std::chrono::seconds(5);

ClientShareOptions ShareOf(const pb::AdminSettings& settings) {
  return {.server = "admin",
          .max_connections = settings.max_connections(),
          .max_bytes = settings.request_memory_bytes()};
}

// A handler that may be called in any thread and runs the given one in the
// connection's thread, if the connection still exists.
template <typename T>
std::function<void(T)> InThread(asio::io_context& context,
                                AdminConnection& connection,
                                std::function<void(T)> handler) {
  std::weak_ptr<HttpServerConnection> weak = connection.weak_from_this();
  return [&context, weak, handler = std::move(handler)](T value) {
    asio::post(context, [weak, handler, value = std::move(value)] {
      if (const auto alive = weak.lock()) handler(value);
    });
  };
}

}  // namespace

AdminServer::AdminServer(const pb::AdminSettings& settings,
                         asio::io_context& io_context,
                         Ring<FromAdmin>& to_control,
                         const Control& control_part,
                         DaemonMetrics& daemon_metrics)
    : context(io_context),
      ring(to_control),
      control(control_part),
      metrics(daemon_metrics),
      share(std::make_shared<ClientShare>(ShareOf(settings), daemon_metrics)),
      listener(
          io_context,
          [this](Tcp::socket socket) { this->OnSocket(std::move(socket)); },
          [this] { this->share->Gate().OnAcceptFailure(Now()); }) {}

std::string AdminServer::Open(const std::string& address) {
  const auto endpoint = settings::Endpoint::Parse(address);
  if (!endpoint) return "the operators' address is malformed";
  return this->listener.Open(*endpoint);
}

void AdminServer::OnSocket(Tcp::socket socket) {
  // Operators and monitoring systems ask again; nothing of this was read.
  if (!this->share->Gate().MakeRoom(Now())) return;
  std::make_shared<AdminConnection>(*this, std::move(socket), HttpLimits{},
                                    this->share)
      ->Start();
}

bool AdminServer::Ask(AdminConnection& connection, StatusCall call,
                      std::function<void(std::string)> handler) {
  call.reply = InThread(this->context, connection, std::move(handler));
  FromAdmin item = std::move(call);
  return this->ring.TryPush(item);
}

bool AdminServer::Pass(AdminConnection& connection, AdminCall call,
                       std::function<void(node::Node::AdminAnswer)> handler) {
  call.reply = InThread(this->context, connection, std::move(handler));
  FromAdmin item = std::move(call);
  return this->ring.TryPush(item);
}

bool AdminServer::IsControlAlive() const {
  return Now() - this->control.LastTick() < kAliveWithin;
}

void AdminServer::CountBadInput(const BadInput& input) {
  this->metrics.Count("admin_bad_input_total", "kind", input.kind);
}

}  // namespace fuchsiadrum::daemon
