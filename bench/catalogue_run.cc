#include "bench/catalogue_run.h"

#include <algorithm>
#include <utility>

#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/log/batch_codec.h"

namespace fuchsiadrum::bench {
namespace {

constexpr Duration kSample(100'000);
constexpr Duration kSecond(1'000'000);
// After everything healed: time for snapshots, peers' state and repetitions.
constexpr Duration kSettle = 30 * kSecond;
// Moment after healing at which an operator gives up lost records.
constexpr Duration kOrderAfter = 12 * kSecond;

Duration RetentionOf(const std::string& scenario) {
  return (scenario == "mixed" || scenario == "healthy" ? 20 : 600) * kSecond;
}

/// Short runs have small states; small chunks make snapshots of many parts, so
/// that writers are cut off.
size_t ChunkBytesOf(const std::string& scenario) {
  return scenario == "mixed" || scenario == "healthy"
             ? 4096
             : log::SnapshotWriter::kMaxChunkBytes;
}

Duration EditsOf(const std::string& scenario) {
  return (scenario == "mixed" || scenario == "healthy" ? 70 : 3700) * kSecond;
}

}  // namespace

CatalogueRun::CatalogueRun(CatalogueRunOptions options)
    : options(std::move(options)),
      rng(this->options.seed),
      network(this->queue, this->rng.Fork("network"),
              {.other_zone_delay = this->options.zone_delay,
               .loss = this->options.scenario == "mixed" ? 0.01 : 0.0,
               .duplicate = this->options.scenario == "mixed" ? 0.01 : 0.0}),
      platform(this->queue, this->network, this->rng.Fork("platform"),
               RetentionOf(this->options.scenario)),
      fleet(this->queue, this->network, this->platform,
            {.retention = RetentionOf(this->options.scenario),
             .chunk_bytes = ChunkBytesOf(this->options.scenario),
             .mutation = this->options.mutation},
            [this](const FleetSlot& slot) { this->Observe(slot); }),
      operators(this->queue, this->fleet, this->rng.Fork("operators")),
      faults(this->queue, this->network, this->platform, this->fleet,
             this->rng.Fork("faults"),
             [this](const std::string& text) { this->Trace(text); }),
      retention(RetentionOf(this->options.scenario)),
      edits_end(TimePoint{} + EditsOf(this->options.scenario)),
      end(this->edits_end + kSettle) {}

CatalogueRunResult CatalogueRun::Run() {
  try {
    this->fleet.Start();
    this->ScheduleScenario();
    this->ScheduleSample();
    this->ScheduleTrim();
    this->operators.Start(this->edits_end);
    this->queue.At(this->edits_end, [this] { this->faults.HealAll(); });
    this->queue.At(this->edits_end + kOrderAfter,
                   [this] { this->GiveUpByOrder(); });
    this->queue.RunUntil(this->end);

    this->oracle.Fold(this->platform.All(), this->lost);
    this->CheckStates();
    this->CheckAuthors();
    this->CheckUnknownRecord();
  } catch (const InvariantViolation& violation) {
    this->Violate(violation.what());
  }

  this->result.appends = this->platform.End();
  this->result.seconds = static_cast<uint64_t>(this->end.us) / 1'000'000;
  return std::move(this->result);
}

void CatalogueRun::ScheduleScenario() {
  const std::string& name = this->options.scenario;
  const TimePoint start{30'000'000};
  if (name == "mixed") {
    const int count = static_cast<int>(this->rng.Between(2, 5));
    this->faults.Schedule(count, TimePoint{5'000'000}, TimePoint{55'000'000},
                          this->retention);
  } else if (name == "zone-cut-1h") {
    this->faults.CutZone(start, 3600 * kSecond, "a");
  } else if (name == "log-down-1h") {
    this->faults.StopLog(start, 3600 * kSecond);
  }
}

void CatalogueRun::ScheduleSample() {
  this->queue.After(kSample, [this] {
    this->Sample();
    this->ScheduleSample();
  });
}

void CatalogueRun::ScheduleTrim() {
  this->queue.After(kSecond, [this] {
    const uint64_t before = this->result.appends;
    this->platform.Trim();
    this->result.appends = this->platform.End();
    this->result.peak_appends =
        std::max(this->result.peak_appends, this->result.appends - before);
    this->ScheduleTrim();
  });
}

void CatalogueRun::Observe(const FleetSlot& slot) {
  const CatalogueDaemon& daemon = *slot.daemon;
  Life& life = this->lives[slot.info.ref];

  for (const Reason& alarm : slot.daemon->log.TakeAlarms()) {
    this->Trace("alarm " + alarm.ToString());
    if (alarm.step == "digest" && !this->lost_by_order) {
      this->Violate(alarm.ToString());
    }
  }
  if (const auto& gap = daemon.log.GapGivenUp()) {
    if (std::find(this->lost.begin(), this->lost.end(), *gap) ==
        this->lost.end()) {
      this->Trace("given up " + std::to_string(gap->first) + " to " +
                  std::to_string(gap->second) + " by " +
                  slot.info.ref.ToString());
      this->lost.push_back(*gap);
      ++this->result.gaps_given_up;
    }
  }

  if (daemon.replica.Phase() != log::ReplicaPhase::kFolding) return;
  const uint64_t offset = daemon.replica.FoldedOffset();
  if (offset != life.offset) {
    life.offset = offset;
    this->digests.try_emplace({offset, daemon.replica.Digest()}, slot.info.ref);
  }

  // A revision that was in force stays in force, also for the VM's next
  // incarnation while it reaches the log.
  if (!daemon.replica.IsReady()) return;
  const uint64_t revision = daemon.catalogue.Revision();
  uint64_t& best = this->best_revision[slot.info.ref.vm];
  const bool reaches = daemon.log.IsDirect(this->queue.Now());
  if (revision < life.revision || (reaches && revision < best)) {
    ++this->result.reverted;
    this->Violate("revision " + std::to_string(revision) + " after " +
                  std::to_string(std::max(life.revision, best)) + " on " +
                  slot.info.ref.ToString());
  }
  life.revision = revision;
  best = std::max(best, revision);
}

void CatalogueRun::Sample() {
  auto& slots = this->fleet.Slots();
  const bool any_state =
      std::any_of(slots.begin(), slots.end(), [](const FleetSlot& slot) {
        return slot.daemon &&
               slot.daemon->replica.Phase() == log::ReplicaPhase::kFolding;
      });

  for (size_t i = 0; i < slots.size(); ++i) {
    // A new incarnation is measured from its start on.
    Waiting& open = this->waiting[slots[i].info.ref.ToString()];
    if (!slots[i].daemon) {
      open.next = this->platform.End();
      open.ms.clear();
      continue;
    }
    if (open.next == 0) open.next = std::max<uint64_t>(1, this->platform.End());

    const uint64_t folded =
        std::min(slots[i].daemon->replica.FoldedOffset(), this->platform.End());
    for (; open.next < folded; ++open.next) {
      this->waited.emplace_back(open.next, open.ms[open.next]);
      open.ms.erase(open.next);
    }

    const bool reachable =
        any_state && this->fleet.IsRunning(i) &&
        (this->fleet.ReachesLog(i) || this->fleet.ReachesLogThroughPeer(i));
    if (!reachable) continue;
    for (uint64_t at = open.next; at < this->platform.End(); ++at) {
      open.ms[at] += kSample.count() / 1000;
    }
  }
}

void CatalogueRun::GiveUpByOrder() {
  size_t best = this->fleet.Slots().size();
  uint64_t furthest = 0;
  for (size_t i = 0; i < this->fleet.Slots().size(); ++i) {
    if (this->fleet.IsReady(i)) return;
    const uint64_t folded =
        this->fleet.Slots()[i].daemon->replica.FoldedOffset();
    if (folded <= furthest) continue;
    furthest = folded;
    best = i;
  }

  this->result.blocked = true;
  this->Trace("blocked");
  if (best == this->fleet.Slots().size()) return;
  CatalogueDaemon& daemon = *this->fleet.Slots()[best].daemon;
  if (!daemon.log.GiveUpGap(this->queue.Now())) return;

  // The order undoes what was accepted among the lost records.
  this->lost_by_order = true;
  this->lives.clear();
  this->best_revision.clear();
}

bool CatalogueRun::IsLost(uint64_t offset) const {
  return std::any_of(this->lost.begin(), this->lost.end(),
                     [&](const auto& range) {
                       return offset >= range.first && offset < range.second;
                     });
}

void CatalogueRun::CheckStates() {
  for (const auto& [seen, daemon] : this->digests) {
    const auto [offset, digest] = seen;
    if (this->lost_by_order && offset > 0 && this->IsLost(offset - 1)) continue;
    const auto expected = this->oracle.DigestAt(offset);
    if (expected == digest) continue;
    this->Violate("state of " + daemon.ToString() + " at offset " +
                  std::to_string(offset) + " differs");
  }

  const auto& slots = this->fleet.Slots();
  const bool no_state =
      this->result.blocked && !this->lost_by_order && this->lost.empty();
  for (size_t i = 0; i < slots.size(); ++i) {
    if (this->fleet.IsReady(i) != no_state) continue;
    const Reason& reason = slots[i].daemon->replica.LastReason();
    this->Violate(slots[i].info.ref.ToString() +
                  (no_state ? " is ready without a state"
                            : " is not ready at the end: ") +
                  reason.ToString());
  }

  for (const auto& [offset, ms] : this->waited) {
    if (this->oracle.AcceptedOffsets().contains(offset)) {
      this->result.in_force_ms.push_back(ms);
    }
  }
}

void CatalogueRun::CheckAuthors() {
  const NotingCatalogue& truth = this->oracle.State();
  this->result.edits = this->operators.Edits().size();
  this->result.refused = this->operators.Refused();

  for (const AuthoredEdit& authored : this->operators.Edits()) {
    const std::string& id = authored.edit.edit_id();
    const auto verdict = truth.verdicts.find(id);
    if (!authored.learned) {
      if (this->result.blocked) {
        ++this->result.unlearned_while_blocked;
      } else {
        this->Violate("the author of " + id + " never learned its fate");
      }
      continue;
    }

    this->result.learned_ms.push_back(authored.learned_after.count() / 1000);
    const bool accepted = authored.learned->verdict == Verdict::kAccepted;
    ++(accepted ? this->result.accepted : this->result.rejected);
    if (this->lost_by_order && this->IsLost(authored.learned->at.offset)) {
      continue;
    }
    if (verdict == truth.verdicts.end() ||
        verdict->second.verdict != authored.learned->verdict ||
        verdict->second.revision != authored.learned->revision) {
      if (accepted) ++this->result.reverted;
      this->Violate("the author of " + id + " learned a wrong verdict");
    }
  }

  // What a daemon that still runs took for the log has to be there.
  for (const AuthoredEdit& authored : this->operators.Edits()) {
    for (const VmRef& writer : authored.taken_by) {
      for (const FleetSlot& slot : this->fleet.Slots()) {
        if (slot.info.ref == writer && slot.daemon &&
            slot.daemon->log.GetAppender().IsEmpty() &&
            !truth.folded.contains({authored.edit.edit_id(), writer}) &&
            !this->result.blocked) {
          this->Violate(writer.ToString() + " lost the record of " +
                        authored.edit.edit_id());
        }
      }
    }
  }
}

void CatalogueRun::CheckUnknownRecord() {
  for (const FleetSlot& slot : this->fleet.Slots()) {
    this->result.snapshots += slot.daemon->log.SnapshotsWritten();
  }

  // A daemon of a later version writes a record of field 70, of which this
  // version knows nothing. All have to stop before it.
  pb::Batch batch;
  batch.mutable_writer()->set_vm("newer");
  batch.mutable_writer()->set_incarnation(1);
  batch.set_sequence(1);
  batch.set_format(log::kBaseFormat);
  FD_ASSERT(batch.add_records()->ParseFromString("\xB0\x04\x01"),
            "bench: malformed record");
  const uint64_t offset =
      this->platform.AppendDirect(log::SealBatch(batch, kBenchFleetKey));
  this->queue.RunUntil(this->queue.Now() + 3 * kSecond);

  for (const FleetSlot& slot : this->fleet.Slots()) {
    if (slot.daemon->replica.FoldedOffset() <= offset) continue;
    this->Violate(slot.info.ref.ToString() + " skipped an unknown record");
  }
}

void CatalogueRun::Violate(const std::string& text) {
  this->Trace("violation: " + text);
  this->result.violations.push_back(text);
}

void CatalogueRun::Trace(const std::string& text) {
  if (this->options.trace) this->options.trace(this->queue.Now(), text);
}

}  // namespace fuchsiadrum::bench
