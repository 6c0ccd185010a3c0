#include "daemon/front_server.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "daemon/clock.h"
#include "fuchsiadrum/core/hash.h"
#include "fuchsiadrum/serving/client_limits.h"

namespace fuchsiadrum::daemon {
namespace {

HttpLimits LimitsOf(const pb::FrontSettings& settings) {
  return {
      .header_bytes = settings.max_header_bytes(),
      .header_fields = settings.max_header_fields() > 0
                           ? settings.max_header_fields()
                           : HttpLimits().header_fields,
      .body_bytes = settings.max_body_bytes(),
      .header_timeout = std::chrono::milliseconds(settings.header_timeout_ms()),
      .body_timeout = std::chrono::milliseconds(settings.body_timeout_ms()),
      .write_timeout = std::chrono::milliseconds(settings.write_timeout_ms())};
}

ClientShareOptions ShareOf(const pb::FrontSettings& settings) {
  // Each caller that is served needs a connection to an upstream.
  const size_t possible =
      serving::ClientLimits::For({.descriptors = SystemDescriptors()})
          .connections;
  const size_t set = settings.max_connections();
  return {.server = "front",
          .max_connections = possible > 0 ? std::min(set, possible) : set,
          .max_bytes = settings.request_memory_bytes()};
}

std::string Hex(uint64_t number) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx",
                static_cast<unsigned long long>(number));
  return out;
}

}  // namespace

FrontServer::FrontServer(FrontOptions front_options,
                         asio::io_context& io_context,
                         Ring<FromFront>& to_control,
                         DaemonMetrics& daemon_metrics)
    : options(std::move(front_options)),
      limits(LimitsOf(this->options.settings)),
      share(std::make_shared<ClientShare>(ShareOf(this->options.settings),
                                          daemon_metrics)),
      context(io_context),
      ring(to_control),
      sender(to_control, io_context),
      metrics(daemon_metrics),
      reader(this->options.settings),
      listener(
          io_context,
          [this](Tcp::socket socket) { this->OnSocket(std::move(socket)); },
          [this] { this->share->Gate().OnAcceptFailure(Now()); }),
      id_prefix(Hex(Hash64(this->options.self.ToString()))) {}

std::string FrontServer::Open() {
  const auto endpoint =
      settings::Endpoint::Parse(this->options.settings.listen());
  if (!endpoint) return "the callers' address is malformed";
  return this->listener.Open(*endpoint);
}

void FrontServer::OnSocket(Tcp::socket socket) {
  const bool has_room = this->share->Gate().MakeRoom(Now());
  const auto connection = std::make_shared<FrontConnection>(
      *this, std::move(socket), this->limits, this->share);
  if (!has_room) {
    this->metrics.Count("refused_total", "cause", "max-connections");
    connection->RefuseConnection();
    return;
  }
  connection->Start();
}

void FrontServer::OnReply(ToFront action) {
  const auto found = this->waiting.find(action.handle);
  if (found == this->waiting.end()) return;
  if (const auto connection = found->second.lock()) {
    connection->OnReply(std::move(action));
  }
}

void FrontServer::StopNewWork() {
  this->closing = true;
  asio::post(this->context, [this] { this->listener.Close(); });
}

void FrontServer::CutAll() {
  asio::post(this->context, [this] {
    const auto open = this->waiting;
    for (const auto& [handle, weak] : open) {
      const auto connection = weak.lock();
      if (!connection) continue;
      node::RequestAction action;
      action.handle = handle;
      // The request may have run, so that it is not a 503.
      action.status = 502;
      action.outcome = node::Outcome::kUnknown;
      action.step = "stop";
      action.reason = "the daemon stopped before the answer was whole";
      connection->OnReply(std::move(action));
    }
  });
}

std::string FrontServer::NewRequestId() {
  return this->id_prefix + "-" + Hex(++this->last_id);
}

bool FrontServer::Submit(const CallerRequestPtr& request,
                         std::weak_ptr<FrontConnection> connection) {
  request->start.handle = ++this->last_handle;
  FromFront item = CallerArrived{request};
  if (!this->sender.IsClear() || !this->ring.TryPush(item)) {
    this->metrics.Count("refused_total", "cause", "ring-full");
    return false;
  }
  this->waiting[request->start.handle] = std::move(connection);
  ++this->in_flight;
  return true;
}

bool FrontServer::Call(AdminCall call) {
  FromFront item = std::move(call);
  if (this->sender.IsClear() && this->ring.TryPush(item)) return true;
  this->metrics.Count("refused_total", "cause", "ring-full");
  return false;
}

void FrontServer::Forget(const CallerRequest& request) {
  if (this->waiting.erase(request.start.handle) > 0) --this->in_flight;
}

void FrontServer::Gone(const CallerRequest& request) {
  this->Forget(request);
  this->sender.Send(CallerGone{request.start.handle});
}

void FrontServer::CountBadInput(const BadInput& input) {
  this->metrics.Count("bad_input_total", "kind", input.kind);
}

void FrontServer::CountCut(const char* cause) {
  this->metrics.Count("cut_total", "cause", cause);
}

void FrontServer::RecordFirstToken(Duration added) {
  this->metrics.AddFirstTokenDelay(added);
}

}  // namespace fuchsiadrum::daemon
