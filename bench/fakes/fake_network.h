#pragma once

#include <functional>
#include <set>
#include <string>
#include <utility>

#include "bench/fakes/event_queue.h"
#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::bench {

/// Rates at which the network treats messages badly.
struct FakeNetworkOptions {
  Duration same_zone_delay = Duration(200);
  Duration other_zone_delay = Duration(1500);
  double loss = 0.0;
  double duplicate = 0.0;
  /// Longest extra delay; it reorders messages.
  Duration jitter = Duration(300);
};

/// Message delivery between named end points with zones, one-way cuts, loss,
/// duplication and reordering.
class FakeNetwork {
 public:
  FakeNetwork(EventQueue& queue, Rng rng, FakeNetworkOptions options)
      : queue(queue), rng(rng), options(options) {}

  /// Cuts all messages from zone `from` to zone `to`, one way.
  void Cut(const std::string& from, const std::string& to) {
    this->cuts.emplace(from, to);
  }
  /// Heals one direction.
  void Heal(const std::string& from, const std::string& to) {
    this->cuts.erase({from, to});
  }
  void HealAll() { this->cuts.clear(); }
  bool IsCut(const std::string& from, const std::string& to) const {
    return this->cuts.contains({from, to});
  }
  /// Delivers `deliver` after the delay between the zones, or never, or twice.
  void Send(const std::string& from_zone, const std::string& to_zone,
            const std::function<void()>& deliver);

 private:
  EventQueue& queue;
  Rng rng;
  FakeNetworkOptions options;
  std::set<std::pair<std::string, std::string>> cuts;
};

}  // namespace fuchsiadrum::bench
