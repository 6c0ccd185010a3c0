#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/serving/crash_evidence.h"
#include "fuchsiadrum/serving/part_proofs.h"
#include "fuchsiadrum/serving/upstream_crash.h"

namespace fuchsiadrum::serving {

/// Options of PromptQuarantine.
struct PromptQuarantineOptions {
  /// Name of this gateway process: "<vm>/<incarnation>".
  std::string holder;
  CrashEvidenceOptions evidence;
  /// Crashes with a common cause counted as one, at which requests with the
  /// parts run one at a time at each gateway, and at which they are not run.
  int64_t crashes_to_suspect = 2;
  int64_t crashes_to_quarantine = 3;
  /// Time from a quarantine to the first trial run; each trial that fails
  /// multiplies it by `trial_backoff`.
  Duration first_trial_after = std::chrono::seconds(10);
  int64_t trial_backoff = 10;
  Duration max_trial_interval = std::chrono::hours(1);
  /// Time within which the holder of a trial may make it.
  Duration trial_time = std::chrono::seconds(10);
  /// Retry-After of a request that waits for another one with its parts.
  Duration suspect_retry_after = std::chrono::milliseconds(500);
  /// Gateways that know the same write it after a random part of this time, for
  /// each VM of the fleet.
  Duration write_spread_per_vm = std::chrono::milliseconds(2);
  size_t max_quarantines = 64;
  size_t max_proofs = 8192;
};

/// Whether a request may run.
enum class QuarantineDecision {
  kRun,
  kRunAlone,  // if no other request with its suspected parts runs here
  kTrial,     // it is the trial run of its quarantine
  kRefuse,    // now or for a while, see retry_after
};

/// Result of PromptQuarantine::Check.
struct QuarantineCheck {
  QuarantineDecision decision = QuarantineDecision::kRun;
  /// Key of the quarantine, or of the suspected parts.
  std::string key;
  /// kRefuse: when a request with these parts may be run again.
  Duration retry_after = Duration::zero();
};

/// Records that a gateway writes in one append, which depends on the end of the
/// stream up to which it has read.
struct QuarantineUpdate {
  std::vector<UpstreamCrash> crashes;
  std::vector<std::string> ended_crashes;
  std::vector<Quarantine> quarantines;
  std::vector<std::string> ended_quarantines;

  bool IsEmpty() const {
    return this->crashes.empty() && this->ended_crashes.empty() &&
           this->quarantines.empty() && this->ended_quarantines.empty();
  }
};

/// What has happened to a set of parts.
enum class QuarantineChange {
  kSuspected,
  kQuarantined,
  kNarrowed,
  kTrial,
  kCleared
};

/// Returns the name of a change as used in log lines.
std::string_view QuarantineChangeName(QuarantineChange change);

/// A change, for the log.
struct QuarantineEvent {
  QuarantineChange change = QuarantineChange::kSuspected;
  /// QuarantineKey of the parts.
  std::string key;
  int64_t crashes = 0;
  int64_t organisations = 0;
  int64_t trials = 0;
  /// Keys of the crashes that decided it, if this gateway knows them.
  std::vector<std::string> evidence;
  /// Time since the first of them became known here.
  int64_t evidence_age_ms = 0;
};

/// Finds parts of prompts on which upstreams crash, and keeps requests that
/// have them from running. The gateways share what they know in a stream of the
/// store; without the store each acts on what it has seen itself.
///
/// Load pattern: requests with one part, no two alike, come at any gateway, and
/// each of them ends the upstream that begins to answer it.
class PromptQuarantine {
 public:
  explicit PromptQuarantine(const PromptQuarantineOptions& opts);

  /// Number of gateways among which writes are spread.
  void SetFleetSize(size_t size) { this->fleet_size = size; }

  /// Decides on a request with these parts before it is sent. kRunAlone and
  /// kTrial: call End when the request has ended.
  QuarantineCheck Check(TimePoint now, uint64_t organisation,
                        const std::vector<uint64_t>& parts);
  void End(const QuarantineCheck& check);
  /// True if a request whose upstream ended before it answered may be sent to
  /// another one. `has_begun`: the upstream had begun to write the answer.
  bool MayRepeat(const std::vector<uint64_t>& parts, bool has_begun) const;
  /// To be kept with each request that is sent, for OnSound.
  uint64_t Mark() const { return this->evidence.Mark(); }

  /// This gateway lost these runs to a crash of their upstream.
  void OnCrash(TimePoint now, const UpstreamCrash& crash);
  /// A run of these parts at the upstream, sent at `mark`, goes on or has ended
  /// well.
  void OnSound(TimePoint now, const UpstreamIncarnation& upstream,
               const std::vector<uint64_t>& parts, uint64_t mark);

  /// A record of the stream was read. Records are passed in their order.
  void OnCrashRecord(TimePoint now, const UpstreamCrash& crash);
  void OnCrashDeleted(TimePoint now, const std::string& key);
  void OnQuarantineRecord(TimePoint now, const Quarantine& record);
  void OnQuarantineDeleted(TimePoint now, const std::string& key);

  /// True if PlanUpdate would return an update.
  bool IsUpdateDue(TimePoint now) const {
    return !this->Unwritten(now).IsEmpty();
  }
  QuarantineUpdate PlanUpdate(TimePoint now);

  /// What has changed since the last call.
  std::vector<QuarantineEvent> TakeEvents();
  size_t Quarantined() const { return this->quarantines.size(); }
  size_t Suspected() const { return this->suspicions.size(); }
  size_t Crashes() const { return this->evidence.Size(); }

 private:
  struct Entry {
    Quarantine quarantine;
    /// False until the record was read from the stream.
    bool is_stored = false;
    /// When this version became known here.
    TimePoint since;
    uint64_t number = 0;
    /// Parts that were proven sound since.
    std::set<uint64_t> sound;
    /// An organisation was added that the record does not have.
    bool has_grown = false;
    /// A trial is due, and a request for it has come.
    bool wants_trial = false;
    /// Until when this gateway may make the trial that it has claimed.
    std::optional<TimePoint> trial_until;
  };

  /// What the stream lacks of what this gateway knows. What other gateways know
  /// as well is left out until `next_shared_write`.
  QuarantineUpdate Unwritten(TimePoint now) const;
  /// Draws the conclusions from the evidence.
  void Update(TimePoint now);
  void Add(TimePoint now, const Suspicion& suspicion);
  void AddOrganisations();
  QuarantineCheck CheckEntry(TimePoint now, const std::string& key,
                             Entry& entry);
  Duration TrialInterval(int64_t trials) const;
  /// Parts of which others must know that they are sound.
  std::set<uint64_t> SuspectParts() const;
  /// The quarantine without parts that were proven sound.
  static Quarantine Narrowed(const Entry& entry);
  void Report(QuarantineChange change, const Quarantine& quarantine);
  void Report(TimePoint now, QuarantineChange change,
              const Suspicion& suspicion);

  PromptQuarantineOptions options;
  CrashEvidence evidence;
  PartProofs proofs;
  Rng rng;
  size_t fleet_size = 1;
  /// Number of quarantines so far.
  uint64_t numbers = 0;
  std::vector<Suspicion> suspicions;
  /// By QuarantineKey.
  std::map<std::string, Entry> quarantines;
  /// Suspected parts, by QuarantineKey, of which a request runs here.
  std::set<std::string> running_alone;
  std::set<std::string> reported_suspicions;
  std::vector<QuarantineEvent> events;
  /// When this gateway next writes what others know as well.
  TimePoint next_shared_write;
};

}  // namespace fuchsiadrum::serving
