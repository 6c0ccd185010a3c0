#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon/daemon_metrics.h"
#include "daemon/frame_codec.h"
#include "daemon/messages.h"
#include "daemon/peer_socket.h"
#include "settings/endpoint.h"

namespace fuchsiadrum::daemon {

/// Options of the links to the other daemons.
struct PeerLinksOptions {
  VmRef self;
  std::string fleet_key;
  /// Address for other daemons, "IP:port".
  std::string listen;
  std::vector<settings::PeerAddress> peers;
  /// A link whose peer was silent for so long is dialled anew.
  Duration redial_after = std::chrono::seconds(3);
};

/// The links to the other daemons, in the peers thread.
class PeerLinks {
 public:
  PeerLinks(PeerLinksOptions links_options, asio::io_context& io_context,
            Ring<ToPeers>& from_control, Ring<PeerArrival>& to_control,
            DaemonMetrics& daemon_metrics);

  /// Opens the address and dials the peers; otherwise the reason. Call it
  /// before the thread starts.
  std::string Open();

 private:
  struct Link {
    std::unique_ptr<PeerDialler> dialler;
    TimePoint last_heard;
    TimePoint last_dialled;
  };

  void OnEnvelopes(const ToPeers& envelopes);
  void SendFrame(const VmRef& to, const std::vector<pb::PeerMessage>& messages);
  void OnFrame(const std::string& bytes);
  void CheckLinks();

  PeerLinksOptions options;
  asio::io_context& context;
  asio::steady_timer timer;
  RingSender<PeerArrival> sender;
  DaemonMetrics& metrics;
  FrameCodec codec;
  std::map<std::string, Link> links;
  PeerListener listener;
};

}  // namespace fuchsiadrum::daemon
