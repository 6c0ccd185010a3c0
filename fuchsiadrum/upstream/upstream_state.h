#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::upstream {

/// Slot of an upstream in the table. A slot is reused after the upstream was
/// removed; UpstreamState::epoch tells the uses apart.
using UpstreamIndex = uint32_t;

/// Number of an availability zone in the table.
using ZoneIndex = uint16_t;

/// Who said first that an upstream is leaving. Each source withdraws only its
/// own indication.
enum class LeavingSource : uint8_t {
  kVmList = 1,     // the platform's VM list
  kCatalogue = 2,  // operators set `draining`
  kOwnAnswer = 4,  // the upstream said so in an answer or a report
  kPeerHint = 8,   // another daemon's heartbeat
};

/// A load report of an upstream, as polled by this daemon.
struct LoadReport {
  /// False: the poll failed; the other fields are ignored.
  bool reachable = false;
  /// Requests that generate tokens, and requests that wait for that.
  int running = 0;
  int queued = 0;
  /// Tokens/s that the upstream claims; 0: not reported.
  double tokens_per_second = 0;
  /// Models, adapters, version and role that it serves now. An adapter is
  /// reported as "model:adapter" in `models`.
  std::vector<std::string> models;
  std::string version;
  std::string role;
  bool leaving = false;
};

/// What this daemon knows of one upstream.
struct UpstreamState {
  std::string name;
  /// IP:port.
  std::string address;
  /// Name of the plain service; empty: a model engine.
  std::string service;
  ZoneIndex zone = 0;
  /// Differs between the uses of one slot.
  uint32_t epoch = 0;
  /// False: the slot is free.
  bool present = false;
  /// Refuses orders with an old fencing number.
  bool checks_fencing = false;
  /// Bits of LeavingSource; 0: not leaving.
  uint8_t leaving = 0;
  /// Removed from the choice for a time because of its failures.
  bool ejected = false;
  /// False from a failed poll until polls have succeeded for a while; true
  /// before the first one.
  bool reachable = true;
  /// Observed models (never the ordered ones), version and role.
  std::vector<std::string> models;
  std::string version;
  std::string role;
  /// Last report; `reports` is 0 before the first one.
  uint64_t reports = 0;
  int running = 0;
  int queued = 0;
  double tokens_per_second = 0;
  /// Moment that the last report describes: its arrival less the report lag.
  TimePoint measured_at;
  /// Own requests in flight, now and at `measured_at`.
  int in_flight = 0;
  int in_flight_at_report = 0;
  /// Largest number of requests that this daemon keeps in flight there:
  /// learned, and 0 while nothing was learned.
  int learned_limit = 0;
  /// Limit of the whole upstream from the catalogue; 0: none.
  int max_concurrency = 0;

  /// True when new work may be sent there.
  bool AcceptsWork() const { return this->present && this->leaving == 0; }
};

}  // namespace fuchsiadrum::upstream
