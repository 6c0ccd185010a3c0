#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/catalogue/catalogue.h"
#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/core/outbox.h"
#include "fuchsiadrum/node/request_observer.h"
#include "fuchsiadrum/report/objective_recorder.h"
#include "schema/report.pb.h"

namespace fuchsiadrum::node {

/// The service-level burn of the fleet: records this daemon's requests, asks
/// the peers for their figures when a report is wanted, and merges them.
class BurnService : public Agent {
 public:
  /// Age from which a peer's figures count as missing.
  static constexpr Duration kStale = std::chrono::seconds(10);

  BurnService(const PeerView& peers, const catalogue::Catalogue& catalogue)
      : peers(peers), catalogue(catalogue) {}

  /// A request ended on this daemon.
  void OnRequestEnd(TimePoint now, const RequestEnd& end);
  /// Takes the objectives of the catalogue over.
  void FollowCatalogue();
  /// Asks all alive peers for their figures.
  void AskPeers(TimePoint now, Outbox& out);
  /// The report in the format "text", "json" or "html", from the figures at
  /// hand. `expected` names the VMs whose figures belong in it.
  std::string Render(TimePoint now, const std::string& format,
                     const std::vector<std::string>& expected) const;

  void OnMessage(TimePoint now, const VmRef& from,
                 const pb::PeerMessage& message, Outbox& out) override;

 private:
  struct Received {
    TimePoint at;
    pb::ObjectiveFigures figures;
  };

  const PeerView& peers;
  const catalogue::Catalogue& catalogue;
  report::ObjectiveRecorder recorder;
  std::vector<pb::Objective> objectives;
  std::map<std::string, Received> received;
  uint64_t next_ask = 1;
};

}  // namespace fuchsiadrum::node
