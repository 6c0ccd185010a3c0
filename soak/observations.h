#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "soak/upstream_fault.h"
#include "soak/wire.h"

namespace fuchsiadrum::soak {

/// What a caller saw of one request.
struct CallerResult {
  SoakRoute route = SoakRoute::kUnsafe;
  /// Version of the configuration that added the route.
  int added = 1;
  /// For the take-up of a stream: the last event that its caller had.
  uint64_t last_event = 0;
  /// Index of the gateway, and number of the request on its connection; 1: the
  /// first.
  size_t gateway = 0;
  int number = 1;
  TimePoint begun;
  /// When the last byte of the request was sent; zero if it was not.
  TimePoint sent;
  TimePoint ended;
  /// 0: the connection ended, or the caller left, before a head was read.
  unsigned int status = 0;
  bool is_whole = false;
  /// True if only the end of the connection ended the answer.
  bool ends_with_connection = false;
  /// True if the caller left because nothing more arrived.
  bool gave_up = false;
  /// True if bytes followed the answer.
  bool has_extra = false;
  std::string body;
  std::string named_id;
  std::string signature;
};

/// One line of the timeline of a request.
struct TimelineLine {
  TimePoint at;
  std::string text;
};

/// All that was seen of one request.
struct RequestRecord {
  CallerResult result;
  std::vector<TimelineLine> lines;
  /// What each upstream that the request reached did with it.
  std::vector<UpstreamFault> faults;
  /// Status of each answer of a run, by its signature.
  std::map<std::string, unsigned int> signatures;
  /// Bodies that are not the answer of a run, and that an upstream wrote as
  /// one.
  std::vector<std::string> odd_bodies;
  /// True if an upstream closed an answer that ends with its connection in
  /// order, and before its end.
  bool was_closed_early = false;
  /// True if the upstream ended right after it had closed such an answer.
  bool has_upstream_ended = false;
  int runs = 0;
  TimePoint run_ended;
  bool was_changed = false;
};

/// Collects what callers and upstreams see. Thread-safe.
class Observations {
 public:
  using Requests = std::map<std::string, RequestRecord>;

  void AddLine(const std::string& id, std::string text);
  /// Records that a request reached an upstream, which will do this with it.
  void AddArrival(const std::string& id, UpstreamFault fault,
                  const std::string& text);
  void AddRun(const std::string& id);
  void AddRunEnd(const std::string& id);
  void AddSignature(const std::string& id, const std::string& signature,
                    unsigned int status);
  void AddOddBody(const std::string& id, const std::string& body);
  /// Records that a request with the bad part has reached an upstream.
  void AddBadArrival(const std::string& id);
  /// Records that an upstream closed its answer, which ends with its
  /// connection, in order before the answer's end.
  void AddEarlyClose(const std::string& id);
  /// Records that the upstream ended right after it had closed its answer,
  /// which ends with its connection.
  void AddUpstreamEnd(const std::string& id);
  /// Records that an upstream ran a request that its caller did not send so.
  void AddChange(const std::string& id);
  void AddResult(const std::string& id, CallerResult result);

  /// Records that the store has acknowledged the next version of the
  /// configuration; the first one is version 1.
  void AddVersion();
  /// Newest version that was acknowledged; 0 before the first one.
  int NewestVersion();
  /// Records that the store went away, or came back from a copy.
  void AddStoreAway();
  void AddStoreBack();

  /// When each version of the configuration was acknowledged. Call it when
  /// callers have ended.
  const std::vector<TimePoint>& Versions() const { return this->versions; }
  /// Spans in which the store was away.
  const std::vector<std::pair<TimePoint, TimePoint>>& StoreAway() const {
    return this->store_away;
  }
  /// Requests with the bad part that reached upstreams, and when. Call it when
  /// callers and upstreams have ended.
  const std::vector<std::pair<TimePoint, std::string>>& BadArrivals() const {
    return this->bad_arrivals;
  }
  /// Call it when callers and upstreams have ended.
  const Requests& All() const { return this->requests; }

 private:
  std::mutex mutex;
  Requests requests;
  std::vector<std::pair<TimePoint, std::string>> bad_arrivals;
  std::vector<TimePoint> versions;
  std::vector<std::pair<TimePoint, TimePoint>> store_away;
};

}  // namespace fuchsiadrum::soak
