#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bench/requests_claims.h"
#include "bench/requests_peers.h"
#include "bench/requests_record.h"
#include "bench/requests_replica.h"
#include "bench/requests_upstream.h"
#include "fuchsiadrum/request/admission.h"
#include "fuchsiadrum/request/attempt_filter.h"
#include "fuchsiadrum/request/retry_budget.h"
#include "fuchsiadrum/request/shard_table.h"

namespace fuchsiadrum::bench::requests {

/// What a daemon needs from its surroundings.
class DaemonHost {
 public:
  virtual ~DaemonHost() = default;
  virtual void SendPeer(const VmInfo& from, const Envelope& envelope) = 0;
  virtual void SendUpstream(const VmRef& from, size_t upstream,
                            const Dispatch& dispatch) = 0;
  virtual void SendReply(const VmRef& from, const CallSpec& call,
                         const Reply& reply) = 0;
  /// Orders another look at the log after an append.
  virtual void SendAppend(const VmInfo& from, const std::string& batch) = 0;
  virtual RunRecord& Record() = 0;
  virtual void Note(const std::string& text) = 0;
};

/// Options of one daemon.
struct DaemonOptions {
  std::string policy;
  /// Name of the broken rule; empty: none.
  std::string mutate;
  uint32_t shards = 12;
  std::vector<std::string> zones;
  size_t upstreams = 6;
  /// Requests that may run at once.
  int capacity = 40;
  Duration first_byte_timeout = std::chrono::milliseconds(800);
  Duration idle_timeout = std::chrono::milliseconds(500);
  bool witness_in_home_zone = false;
  int initial_retries = 0;
  uint64_t seed = 1;
};

/// One daemon: the request parts of the product joined as the node joins them.
class BenchDaemon : public AttemptListener {
 public:
  BenchDaemon(const VmInfo& self, const std::vector<VmInfo>& fleet,
              const DaemonOptions& options, DaemonHost& host);

  void OnRequest(TimePoint now, const CallSpec& call,
                 const std::string& request_id, Duration time_left);
  void OnPeer(TimePoint now, const VmRef& from, const pb::PeerMessage& message);
  void OnTick(TimePoint now);
  /// Reads the log as far as it goes.
  void ReadLog(TimePoint now, const FakeLog& log);
  /// Loads the state of a daemon that has read further.
  void LoadState(TimePoint now, const BenchDaemon& other);
  /// A chunk or event of an upstream; `now` is set by SetNow before.
  void OnChunk(const std::string& connection,
               const request::AnswerChunk& chunk) override;
  void OnEvent(const std::string& connection, uint32_t attempt,
               node::AttemptEventKind kind) override;
  void SetNow(TimePoint local) { this->now = local; }
  void BeginDrain(TimePoint now);

  FakePeerView& Peers() { return this->peers; }
  const request::ShardTable& Table() const { return this->table; }
  ClaimRules& Rules() { return *this->rules; }
  const MiniReplica& Replica() const { return this->replica; }
  const VmInfo& Self() const { return this->peers.Self(); }
  size_t OpenRequests() const { return this->requests.size(); }
  /// Requests past their deadline that were not answered.
  size_t Overdue(TimePoint now) const;

  /// Attempts by upstream and class: first ones and retries.
  std::map<std::pair<size_t, int>, std::pair<int64_t, int64_t>> attempts;

 private:
  struct Request {
    CallSpec call;
    std::string id;
    uint64_t handle = 0;
    TimePoint deadline;
    request::AttemptFilter filter;
    std::vector<std::string> tokens;
    bool started = false;
    bool claimed = false;
    /// Running: an attempt is open or a retry waits for its backoff.
    bool running = false;
    bool may_have_run = false;
    uint32_t attempt = 0;
    uint32_t retries = 0;
    size_t upstream = 0;
    std::string content;
    TimePoint last_progress;
    std::optional<TimePoint> retry_at;
    size_t retry_upstream = 0;
  };

  void Claim(Request& request);
  void OnDecision(const request::Decision& decision);
  void OnRun(Request& request);
  void SendAttempt(Request& request, size_t upstream, bool retry);
  void OnFailure(Request& request, node::AttemptEventKind kind);
  bool TryRetry(Request& request);
  void Finish(Request& request, node::Outcome outcome, const std::string& why);
  void Answer(const Request& request, node::Outcome outcome,
              const std::string& why);
  void Remove(uint64_t handle);
  void CheckTimes();
  void Pump();
  std::optional<size_t> Choose(std::optional<size_t> except);
  Request* Find(const std::string& id);
  bool Mutated(const char* name) const { return this->options.mutate == name; }

  DaemonOptions options;
  DaemonHost& host;
  Rng rng;
  TimePoint now;
  FakePeerView peers;
  request::ShardTable table;
  std::unique_ptr<ClaimRules> rules;
  MiniReplica replica;
  request::Admission admission;
  request::RetryBudget retry_budget;
  Outbox out;
  uint64_t next_handle = 1;
  std::map<uint64_t, Request> requests;
  std::map<std::string, uint64_t> handles;
  /// Calls that were told to run here, by request id; kept to find second
  /// bills.
  std::map<std::string, CallSpec> ran_here;
  /// Upstreams that failed lately, by when they may be tried again.
  std::map<size_t, TimePoint> avoided;
};

}  // namespace fuchsiadrum::bench::requests
