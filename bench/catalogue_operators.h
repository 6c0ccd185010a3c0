#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bench/catalogue_fleet.h"
#include "bench/fakes/event_queue.h"
#include "fuchsiadrum/catalogue/catalogue.h"
#include "fuchsiadrum/core/rng.h"
#include "schema/record.pb.h"

namespace fuchsiadrum::bench {

/// An edit and what its author learned about it.
struct AuthoredEdit {
  pb::CatalogueEdit edit;
  TimePoint submitted;
  TimePoint last_sent;
  /// Daemon incarnations that took the edit for the log.
  std::vector<VmRef> taken_by;
  std::optional<catalogue::EditVerdict> learned;
  Duration learned_after{};
};

/// Two operators who edit the same entries through any daemon, and send an
/// edit again through another one when its fate stays unknown.
class CatalogueOperators {
 public:
  CatalogueOperators(EventQueue& queue, CatalogueFleet& fleet, Rng rng)
      : queue(queue), fleet(fleet), rng(rng) {}

  /// Edits from now until `end`; verdicts are asked for until the run's end.
  void Start(TimePoint end);
  const std::vector<AuthoredEdit>& Edits() const { return this->edits; }
  /// Edits that a daemon refused before the append.
  uint64_t Refused() const { return this->refused; }

 private:
  void ScheduleEdit(TimePoint end);
  void ScheduleAsk();
  void EditOnce();
  void Submit(size_t daemon, const std::string& author, const std::string& key);
  bool Send(size_t daemon, AuthoredEdit& authored);
  void Ask(AuthoredEdit& authored);
  std::optional<size_t> AnyReadyDaemon();

  EventQueue& queue;
  CatalogueFleet& fleet;
  Rng rng;
  std::vector<AuthoredEdit> edits;
  /// Edits below this index are all answered.
  size_t first_open = 0;
  uint64_t refused = 0;
  /// Revision that an operator saw some time ago, by key.
  std::map<std::string, uint64_t> seen;
};

}  // namespace fuchsiadrum::bench
