#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bench/fakes/event_queue.h"
#include "bench/fakes/fake_log.h"
#include "bench/fakes/fake_network.h"
#include "bench/fleet/fake_upstream.h"
#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/node/node.h"

namespace fuchsiadrum::bench {

/// Sizes of a fleet on fakes.
struct FleetOptions {
  int zones = 3;
  int daemons_per_zone = 3;
  int engines_per_zone = 2;
  std::string preset = "coral-andina";
  Duration zone_delay = Duration(1500);
  double message_loss = 0.0;
};

/// A reply that a caller got.
struct CallerReply {
  node::RequestAction action;
  /// True for a whole answer streamed from an upstream.
  bool streamed = false;
};

/// Hears what happens at the interfaces: a name such as "dispatch",
/// "peer:ClaimAsk" or "append:Grant", and the daemon's index.
using FleetProbe = std::function<void(const std::string&, size_t daemon)>;

/// Nodes with fake clock, log, links and upstreams. The nodes are the very
/// code that the daemon runs.
class Fleet {
 public:
  using OnReply = std::function<void(const CallerReply&)>;

  Fleet(const FleetOptions& options, uint64_t seed);

  EventQueue& Queue() { return this->queue; }
  FakeNetwork& Network() { return this->network; }
  size_t Size() const { return this->daemons.size(); }
  node::Node& At(size_t daemon) { return *this->daemons[daemon].node; }
  const std::string& ZoneOf(size_t daemon) const {
    return this->daemons[daemon].zone;
  }
  bool IsRunning(size_t daemon) const {
    return this->daemons[daemon].alive && !this->daemons[daemon].paused;
  }
  std::vector<std::unique_ptr<FakeUpstream>>& Upstreams() {
    return this->upstreams;
  }
  void SetProbe(FleetProbe new_probe) { this->probe = std::move(new_probe); }

  /// Sends a caller's request to a daemon; `reply` is not called if the daemon
  /// dies or the answer is lost.
  void Send(size_t daemon, node::RequestStart request, const OnReply& reply);
  /// A request on the admin port.
  node::Node::AdminAnswer Admin(size_t daemon, const std::string& method,
                                const std::string& target,
                                const std::string& body);

  // Faults.
  void Kill(size_t daemon);
  void Restart(size_t daemon);
  void Pause(size_t daemon);
  void Resume(size_t daemon);
  void JumpClock(size_t daemon, Duration by);
  void CutFromPlatform(const std::string& zone, bool cut);
  void BeginDrain(size_t daemon);
  bool IsDrained(size_t daemon) const;
  /// The daemon process ends after a planned stop.
  void Stop(size_t daemon) { this->Kill(daemon); }
  bool log_down = false;
  Duration log_delay = std::chrono::milliseconds(3);
  double lose_append_answers = 0.0;
  /// VMs that the platform's list leaves out or calls leaving by mistake.
  std::set<std::string> hidden_vms;
  std::set<std::string> wrongly_leaving;

 private:
  struct Pending {
    node::RequestStart request;
    OnReply reply;
  };
  struct Daemon {
    std::string name;
    std::string zone;
    std::unique_ptr<node::Node> node;
    uint64_t incarnation = 0;
    bool alive = false;
    bool paused = false;
    Duration clock_offset{0};
    std::vector<std::function<void()>> held;
    std::map<node::RequestHandle, Pending> callers;
  };

  void Start(size_t daemon);
  void Deliver(size_t daemon, uint64_t incarnation, std::function<void()> act);
  /// Calls into a node and carries out what it wants.
  void Drive(size_t daemon,
             const std::function<void(node::Node&, TimePoint,
                                      node::NodeActions&)>& call);
  void Carry(size_t daemon, node::NodeActions& actions);
  void CarryMessage(size_t daemon, const Envelope& envelope);
  void CarryAppend(size_t daemon, const std::string& batch);
  void CarryRequest(size_t daemon, const node::RequestAction& action);
  void CarryDispatch(size_t daemon, const node::RequestAction& action);
  /// When an attempt last heard of its upstream, and whether it is over.
  struct AttemptWatch {
    TimePoint heard;
    bool over = false;
  };
  /// Ends an attempt that hears nothing for the idle bound.
  void WatchIdle(size_t daemon, uint64_t incarnation,
                 const node::AttemptEvent& event,
                 const std::shared_ptr<AttemptWatch>& watch);
  void Tell(size_t daemon, uint64_t incarnation, const std::string& zone,
            node::AttemptEvent event);
  void Tick(size_t daemon, uint64_t incarnation);
  void PollLog(size_t daemon, uint64_t incarnation);
  void PollUpstreams(size_t daemon, uint64_t incarnation);
  bool ReachesLog(size_t daemon) const;
  FakeUpstream* FindUpstream(const std::string& name);
  TimePoint NowOf(size_t daemon) const {
    return this->queue.Now() + this->daemons[daemon].clock_offset;
  }
  void Note(const std::string& what, size_t daemon) {
    if (this->probe) this->probe(what, daemon);
  }

  FleetOptions options;
  Rng rng;
  EventQueue queue;
  FakeNetwork network;
  FakeLog log;
  std::vector<Daemon> daemons;
  std::vector<std::unique_ptr<FakeUpstream>> upstreams;
  std::set<std::string> cut_from_platform;
  FleetProbe probe;
};

}  // namespace fuchsiadrum::bench
