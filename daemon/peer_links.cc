#include "daemon/peer_links.h"

#include <algorithm>
#include <utility>

#include "daemon/clock.h"
#include "daemon/logging.h"

namespace fuchsiadrum::daemon {
namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(200);
// A frame is closed when its messages reach this size.
constexpr size_t kFrameBytes = 1U << 20U;

}  // namespace

PeerLinks::PeerLinks(PeerLinksOptions links_options,
                     asio::io_context& io_context, Ring<ToPeers>& from_control,
                     Ring<PeerArrival>& to_control,
                     DaemonMetrics& daemon_metrics)
    : options(std::move(links_options)),
      context(io_context),
      timer(io_context),
      sender(to_control, io_context),
      metrics(daemon_metrics),
      codec(this->options.self, this->options.fleet_key),
      listener([this](std::string bytes) {
        asio::post(this->context,
                   [this, frame = std::move(bytes)] { this->OnFrame(frame); });
      }) {
  from_control.SetHandler(
      [this](const ToPeers& envelopes) { this->OnEnvelopes(envelopes); });
  // While the control thread is behind, nothing more is received, and the
  // senders' queues fill.
  this->sender.SetOnClear([this] { this->listener.Next(); });
}

std::string PeerLinks::Open() {
  const std::string reason = this->listener.Open(this->options.listen);
  if (!reason.empty()) return reason;

  for (const settings::PeerAddress& peer : this->options.peers) {
    Link& link = this->links[peer.vm.ref.vm];
    link.dialler = std::make_unique<PeerDialler>(peer.endpoint.ToString());
    link.dialler->Redial();
    link.last_dialled = Now();
  }
  this->CheckLinks();
  return {};
}

void PeerLinks::OnEnvelopes(const ToPeers& envelopes) {
  // Messages for one daemon share frames, in their order.
  std::map<VmRef, std::vector<pb::PeerMessage>> by_target;
  std::map<VmRef, size_t> sizes;
  for (const Envelope& envelope : envelopes) {
    auto& messages = by_target[envelope.to];
    size_t& size = sizes[envelope.to];
    messages.push_back(envelope.body);
    size += envelope.body.ByteSizeLong();
    if (size < kFrameBytes) continue;
    this->SendFrame(envelope.to, messages);
    messages.clear();
    size = 0;
  }
  for (const auto& [to, messages] : by_target) {
    if (!messages.empty()) this->SendFrame(to, messages);
  }
}

void PeerLinks::SendFrame(const VmRef& to,
                          const std::vector<pb::PeerMessage>& messages) {
  const auto found = this->links.find(to.vm);
  if (found == this->links.end()) {
    this->metrics.Count("peer_dropped_total", "cause", "unknown-peer");
    return;
  }
  const std::string frame = this->codec.Encode(to, messages);
  if (found->second.dialler->Send(frame)) {
    this->metrics.Count("peer_bytes_total", "direction", "sent", frame.size());
  } else {
    this->metrics.Count("peer_dropped_total", "cause", "link-full");
  }
}

void PeerLinks::OnFrame(const std::string& bytes) {
  this->metrics.Count("peer_bytes_total", "direction", "received",
                      bytes.size());
  const auto frame = this->codec.Decode(bytes);
  if (!frame) {
    this->metrics.Count("peer_dropped_total", "cause",
                        FrameCodec::DropName(this->codec.LastDrop()));
    return this->listener.Next();
  }

  const VmRef from = VmRef::FromProto(frame->from());
  const auto found = this->links.find(from.vm);
  if (found != this->links.end()) found->second.last_heard = Now();
  this->sender.Send(
      {.from = from,
       .messages = {frame->messages().begin(), frame->messages().end()}});
  if (this->sender.IsClear()) this->listener.Next();
}

void PeerLinks::CheckLinks() {
  const TimePoint now = Now();
  for (auto& [vm, link] : this->links) {
    const TimePoint last = std::max(link.last_heard, link.last_dialled);
    if (now - last < this->options.redial_after) continue;
    LogLine("debug", "peers: dialling " + vm + " anew after silence");
    this->metrics.Count("peer_redials_total", "peer", vm);
    link.dialler->Redial();
    link.last_dialled = now;
  }
  this->timer.expires_after(kCheckInterval);
  this->timer.async_wait([this](ErrorCode error) {
    if (!error) this->CheckLinks();
  });
}

}  // namespace fuchsiadrum::daemon
