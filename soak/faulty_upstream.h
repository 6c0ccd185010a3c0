#pragma once

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>

#include "soak/observations.h"
#include "soak/upstream_fault.h"
#include "tests/platform/scripted_upstream.h"

namespace fuchsiadrum::soak {

/// Options of a FaultyUpstream.
struct FaultyUpstreamOptions {
  /// Name in the store at the first start.
  std::string name;
  /// Version of its software at the first start.
  std::string version;
  uint64_t seed = 1;
};

/// Upstream on the loopback interface that does with each request what the
/// seed, the request's id and the number of its arrival say.
class FaultyUpstream {
 public:
  /// Each request is answered soundly while `without_faults` is set.
  FaultyUpstream(const FaultyUpstreamOptions& opts, Observations& observations,
                 gateway::RunRecord& run_record,
                 const std::atomic<bool>& without_faults);

  /// Id in the store, which may change at a start.
  const std::string& Name() const { return this->name; }
  /// Ids of its earlier starts.
  const std::set<std::string>& EarlierNames() const {
    return this->earlier_names;
  }
  /// Version of its software.
  const std::string& Version() const { return this->version; }
  std::string Address() const { return this->server->Address(); }
  /// How often it has started.
  int Starts() const { return this->starts; }
  bool IsUp() const { return this->server != nullptr; }
  /// Ends the upstream if a request has asked for that, and starts it again, at
  /// another address, after a while. Returns true if it has just ended.
  bool OnTick(TimePoint now);

 private:
  using Exchange = gateway::ScriptedExchange;

  void Start();
  void Serve(Exchange& exchange);
  void ServeOpen(Exchange& exchange);
  /// The upstream closes the connection, which ends its answer.
  void CloseUnframed(Exchange& exchange);
  /// True if the answer to the request announces that the connection closes.
  bool AnnouncesClose(const Exchange& exchange) const;
  /// Begins to answer a request with the bad part, and ends the upstream.
  void EndWith(Exchange& exchange);
  UpstreamFault Draw(const Exchange& exchange, Rng& rng) const;
  void Apply(UpstreamFault fault, Exchange& exchange, Rng& rng);
  void Refuse(UpstreamFault fault, Exchange& exchange, Rng& rng);
  void ResetWithoutRun(UpstreamFault fault, Exchange& exchange);
  /// What comes before the answer of a run.
  void WritePrelude(UpstreamFault fault, Exchange& exchange, Rng& rng);
  /// What a run ends with, if it is not its whole answer.
  void BreakOff(UpstreamFault fault, Exchange& exchange, Rng& rng);
  /// Answers before the body was read; `resets`: and resets the connection
  /// within the answer.
  void AnswerEarly(Exchange& exchange, bool resets, Rng& rng);
  /// Writes an answer with one byte, line or coding that HTTP/1.1 doesn't have.
  void WriteMalformed(Exchange& exchange, Rng& rng);
  void CutUnframed(Exchange& exchange, const std::string& answer, size_t head,
                   Rng& rng);
  void Run(UpstreamFault fault, Exchange& exchange);
  std::string MakeSignature(const Exchange& exchange, unsigned int status);
  /// Writes a sound stream at the pace of an engine; cut if the upstream ends.
  void WriteInTime(Exchange& exchange);
  void WriteOwnFailure(Exchange& exchange, bool is_signed, Rng& rng);
  /// Body of a sound answer.
  std::string MakeBody(const Exchange& exchange) const;
  /// The whole answer of a run, framed by a length or in chunks.
  std::string MakeAnswer(const Exchange& exchange, Rng& rng);
  /// The same, framed by the end of the connection alone.
  std::string MakeUnframedAnswer(const Exchange& exchange);

  FaultyUpstreamOptions options;
  std::string name;
  std::set<std::string> earlier_names;
  std::string version;
  Observations& seen;
  gateway::RunRecord& runs;
  const std::atomic<bool>& calm;
  std::atomic<int> answers{0};
  std::atomic<bool> is_ending{false};
  int starts = 0;
  TimePoint back_at;
  std::mutex mutex;
  /// Requests that are being served.
  std::set<std::string> open;
  /// The last answers that ended with their connection, and when.
  std::deque<std::pair<TimePoint, std::string>> closed;
  /// Ends first, because its threads use the other members.
  std::unique_ptr<gateway::ScriptedUpstream> server;
};

}  // namespace fuchsiadrum::soak
