#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/core/agent.h"

namespace fuchsiadrum::bench::requests {

/// A daemon's view of its peers from heartbeats, with switches that make it
/// wrong.
class FakePeerView : public PeerView {
 public:
  FakePeerView(VmInfo self, std::vector<VmInfo> fleet)
      : self(std::move(self)), fleet(std::move(fleet)) {}

  const VmInfo& Self() const override { return this->self; }
  const std::vector<VmInfo>& AlivePeers() const override { return this->alive; }
  std::optional<Duration> SilentFor(TimePoint now,
                                    const VmRef& peer) const override {
    if (this->believed_dead.contains(peer.vm)) return kLong;
    const auto found = this->heard.find(peer.vm);
    if (found == this->heard.end()) return std::nullopt;
    if (found->second.first > peer.incarnation) return Duration::max();
    if (found->second.first < peer.incarnation) return std::nullopt;
    return now - found->second.second;
  }
  bool IsLogReachable() const override { return this->log_reachable; }

  /// A heartbeat arrived.
  void OnHeard(TimePoint now, const VmRef& from) {
    auto& entry = this->heard[from.vm];
    if (entry.first > from.incarnation) return;
    entry = {from.incarnation, now};
  }
  /// Rebuilds the list of live peers.
  void OnTick(TimePoint now) {
    this->alive.clear();
    for (const VmInfo& vm : this->fleet) {
      const auto found = this->heard.find(vm.ref.vm);
      if (vm.ref.vm == this->self.ref.vm || found == this->heard.end() ||
          this->believed_dead.contains(vm.ref.vm) ||
          now - found->second.second > kAliveFor) {
        continue;
      }
      this->alive.push_back(vm);
      this->alive.back().ref.incarnation = found->second.first;
    }
  }

  bool log_reachable = true;
  /// Peers that this daemon wrongly believes dead.
  std::map<std::string, bool> believed_dead;

 private:
  static constexpr Duration kLong = std::chrono::hours(1);
  static constexpr Duration kAliveFor = std::chrono::milliseconds(1200);

  VmInfo self;
  std::vector<VmInfo> fleet;
  std::map<std::string, std::pair<uint64_t, TimePoint>> heard;
  std::vector<VmInfo> alive;
};

}  // namespace fuchsiadrum::bench::requests
