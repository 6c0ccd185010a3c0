#pragma once

#include "daemon/daemon_metrics.h"
#include "daemon/messages.h"
#include "daemon/ring.h"

namespace fuchsiadrum::daemon {

/// The io_contexts of the threads.
struct Contexts {
  asio::io_context& front;
  asio::io_context& control;
  asio::io_context& upstream;
  asio::io_context& peers;
  asio::io_context& log;
  asio::io_context& admin;
};

/// All rings between the control thread and the others.
struct Rings {
  /// Items in each ring, enough for a burst of a few ms.
  static constexpr size_t kItems = 8192;

  Rings(const Contexts& contexts, DaemonMetrics& metrics, size_t items = kItems)
      : from_front(contexts.control, items, metrics.AddRing("front-control")),
        from_admin(contexts.control, items, metrics.AddRing("admin-control")),
        from_upstream(contexts.control, items,
                      metrics.AddRing("upstream-control")),
        from_peers(contexts.control, items, metrics.AddRing("peers-control")),
        from_log(contexts.control, items, metrics.AddRing("log-control")),
        to_front(contexts.front, items, metrics.AddRing("control-front")),
        to_upstream(contexts.upstream, items,
                    metrics.AddRing("control-upstream")),
        to_peers(contexts.peers, items, metrics.AddRing("control-peers")),
        to_log(contexts.log, items, metrics.AddRing("control-log")) {}

  Ring<FromFront> from_front;
  Ring<FromAdmin> from_admin;
  Ring<FromUpstream> from_upstream;
  Ring<PeerArrival> from_peers;
  Ring<FromLog> from_log;
  Ring<ToFront> to_front;
  Ring<ToUpstream> to_upstream;
  Ring<ToPeers> to_peers;
  Ring<ToLog> to_log;
};

}  // namespace fuchsiadrum::daemon
