#include "fuchsiadrum/serving/prompt_quarantine.h"

#include <algorithm>
#include <array>
#include <utility>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::serving {
namespace {

/// Least time between two writes of what other gateways know as well.
constexpr Duration kSharedWriteInterval = std::chrono::milliseconds(100);
/// Retry-After of a request that comes when a trial is being claimed.
constexpr Duration kTrialRetryAfter = std::chrono::seconds(1);

Quarantine AsQuarantine(const Suspicion& suspicion) {
  return {.parts = suspicion.parts,
          .organisations = suspicion.organisations,
          .crashes = suspicion.crashes,
          .trials = 0,
          .trial_holder = {}};
}

}  // namespace

std::string_view QuarantineChangeName(QuarantineChange change) {
  static constexpr std::array<std::string_view, 5> kNames = {
      "suspected", "quarantined", "narrowed", "trial", "cleared"};
  return kNames[static_cast<size_t>(change)];
}

PromptQuarantine::PromptQuarantine(const PromptQuarantineOptions& opts)
    : options(opts),
      evidence(opts.evidence),
      proofs(opts.max_proofs),
      rng(Hash64(opts.holder)) {}

QuarantineCheck PromptQuarantine::Check(TimePoint now, uint64_t organisation,
                                        const std::vector<uint64_t>& parts) {
  if (this->quarantines.empty() && this->suspicions.empty()) return {};
  for (auto& [key, entry] : this->quarantines) {
    if (!Narrowed(entry).Concerns(organisation, parts)) continue;
    return this->CheckEntry(now, key, entry);
  }
  for (const Suspicion& suspicion : this->suspicions) {
    if (!AsQuarantine(suspicion).Concerns(organisation, parts)) continue;
    // Parts in common use are often in lost runs. They are not slowed down by
    // that unless this gateway itself has lost a begun run with them.
    if (this->proofs.HasAll(suspicion.parts)) continue;
    QuarantineCheck check = {.decision = QuarantineDecision::kRunAlone,
                             .key = QuarantineKey(suspicion.parts)};
    if (!this->running_alone.insert(check.key).second) {
      check.decision = QuarantineDecision::kRefuse;
      check.retry_after = this->options.suspect_retry_after;
    }
    return check;
  }
  return {};
}

QuarantineCheck PromptQuarantine::CheckEntry(TimePoint now,
                                             const std::string& key,
                                             Entry& entry) {
  QuarantineCheck check = {.decision = QuarantineDecision::kRefuse, .key = key};
  if (entry.trial_until) {
    const bool is_in_time = now < *entry.trial_until;
    entry.trial_until.reset();
    if (is_in_time) {
      check.decision = QuarantineDecision::kTrial;
      this->Report(QuarantineChange::kTrial, entry.quarantine);
      return check;
    }
  }
  const TimePoint trial_at =
      entry.since + this->TrialInterval(entry.quarantine.trials);
  // Only the stream decides which gateway makes a trial.
  if (now >= trial_at && entry.is_stored) entry.wants_trial = true;
  check.retry_after = std::max(kTrialRetryAfter, trial_at - now);
  return check;
}

void PromptQuarantine::End(const QuarantineCheck& check) {
  if (check.decision == QuarantineDecision::kRunAlone) {
    this->running_alone.erase(check.key);
  }
}

bool PromptQuarantine::MayRepeat(const std::vector<uint64_t>& parts,
                                 bool has_begun) const {
  // What had not begun is not to blame; what had begun must be known to be
  // sound before it may end another upstream.
  return !has_begun || this->proofs.HasAll(parts);
}

void PromptQuarantine::OnCrash(TimePoint now, const UpstreamCrash& crash) {
  for (const LostRun& run : crash.runs) {
    if (!run.has_begun) continue;
    for (const uint64_t part : run.parts) this->proofs.Remove(part);
  }
  this->evidence.AddOwn(now, crash);
  this->Update(now);
}

void PromptQuarantine::OnSound(TimePoint now,
                               const UpstreamIncarnation& upstream,
                               const std::vector<uint64_t>& parts,
                               uint64_t mark) {
  this->proofs.Add(parts);
  for (auto& [key, entry] : this->quarantines) {
    for (const uint64_t part : parts) {
      if (std::ranges::binary_search(entry.quarantine.parts, part)) {
        entry.sound.insert(part);
      }
    }
  }
  // The stream has nothing to delete of what was not written yet.
  std::erase_if(this->quarantines, [this](const auto& item) {
    const Entry& entry = item.second;
    if (entry.is_stored || !Narrowed(entry).parts.empty()) return false;
    this->Report(QuarantineChange::kCleared, entry.quarantine);
    return true;
  });
  if (this->evidence.Size() == 0) return;
  const bool was_crashed = this->evidence.OnAlive(upstream, mark);
  const bool has_cleared = this->evidence.OnSound(parts);
  if (was_crashed || has_cleared) this->Update(now);
}

void PromptQuarantine::OnCrashRecord(TimePoint now,
                                     const UpstreamCrash& crash) {
  this->evidence.OnRecord(now, crash);
  this->Update(now);
}

void PromptQuarantine::OnCrashDeleted(TimePoint now, const std::string& key) {
  this->evidence.OnRecordDeleted(key);
  this->Update(now);
}

void PromptQuarantine::OnQuarantineRecord(TimePoint now,
                                          const Quarantine& record) {
  const std::string key = QuarantineKey(record.parts);
  const auto [it, is_new] = this->quarantines.try_emplace(key);
  Entry& entry = it->second;
  const bool is_trial = !is_new && record.trials > entry.quarantine.trials;
  if (is_new) this->Report(QuarantineChange::kQuarantined, record);
  if (is_new || is_trial) entry.since = now;
  if (is_new) entry.number = ++this->numbers;
  if (is_trial && record.trial_holder == this->options.holder) {
    entry.trial_until = now + this->options.trial_time;
  }
  entry.quarantine = record;
  entry.is_stored = true;
  entry.wants_trial = false;
  entry.has_grown = false;
  this->Update(now);
}

void PromptQuarantine::OnQuarantineDeleted(TimePoint now,
                                           const std::string& key) {
  const auto found = this->quarantines.find(key);
  if (found == this->quarantines.end()) return;
  this->Report(QuarantineChange::kCleared, found->second.quarantine);
  // The crashes that decided it would decide it again.
  this->evidence.OnSound(found->second.quarantine.parts);
  this->quarantines.erase(found);
  this->Update(now);
}

void PromptQuarantine::Update(TimePoint now) {
  this->evidence.Expire(now);
  this->suspicions.clear();
  std::set<std::string> keys;
  for (Suspicion& suspicion :
       this->evidence.Suspicions(this->options.crashes_to_suspect)) {
    if (suspicion.crashes >= this->options.crashes_to_quarantine) {
      this->Add(now, suspicion);
      continue;
    }
    const std::string key = QuarantineKey(suspicion.parts);
    keys.insert(key);
    if (!this->reported_suspicions.contains(key)) {
      this->Report(now, QuarantineChange::kSuspected, suspicion);
    }
    this->suspicions.push_back(std::move(suspicion));
  }
  this->reported_suspicions = std::move(keys);
  this->AddOrganisations();
}

void PromptQuarantine::Add(TimePoint now, const Suspicion& suspicion) {
  // One that asks for fewer of these parts concerns the same requests.
  for (const auto& [key, entry] : this->quarantines) {
    const Quarantine known = Narrowed(entry);
    if (!known.parts.empty() &&
        std::ranges::includes(suspicion.parts, known.parts)) {
      return;
    }
  }
  if (this->quarantines.size() >= this->options.max_quarantines) {
    const auto oldest = std::ranges::min_element(
        this->quarantines, {},
        [](const auto& item) { return item.second.number; });
    this->Report(QuarantineChange::kCleared, oldest->second.quarantine);
    this->quarantines.erase(oldest);
  }
  Entry entry;
  entry.quarantine = AsQuarantine(suspicion);
  entry.since = now;
  entry.number = ++this->numbers;
  this->Report(now, QuarantineChange::kQuarantined, suspicion);
  this->quarantines.emplace(QuarantineKey(suspicion.parts), std::move(entry));
}

void PromptQuarantine::AddOrganisations() {
  for (auto& [key, entry] : this->quarantines) {
    std::vector<uint64_t>& known = entry.quarantine.organisations;
    if (known.size() > 1) continue;
    for (const uint64_t organisation :
         this->evidence.OrganisationsOf(entry.quarantine.parts)) {
      if (std::ranges::binary_search(known, organisation)) continue;
      known.insert(std::ranges::upper_bound(known, organisation), organisation);
      entry.has_grown = true;
    }
  }
}

QuarantineUpdate PromptQuarantine::PlanUpdate(TimePoint now) {
  this->evidence.Expire(now);
  QuarantineUpdate update = this->Unwritten(now);
  if (now >= this->next_shared_write) {
    const double spread =
        this->rng.Unit() * static_cast<double>(this->fleet_size);
    this->next_shared_write = now + kSharedWriteInterval +
                              std::chrono::duration_cast<Duration>(
                                  this->options.write_spread_per_vm * spread);
  }
  return update;
}

QuarantineUpdate PromptQuarantine::Unwritten(TimePoint now) const {
  QuarantineUpdate update;
  const bool is_shared_due = now >= this->next_shared_write;
  const std::set<uint64_t> suspects =
      is_shared_due ? this->SuspectParts() : std::set<uint64_t>();
  for (UpstreamCrash& crash : this->evidence.Unwritten(now, suspects)) {
    if (crash.runs.empty()) {
      update.ended_crashes.push_back(CrashKey(crash.upstream));
    } else {
      update.crashes.push_back(std::move(crash));
    }
  }
  if (!is_shared_due) return update;

  for (const std::string& key : this->evidence.Obsolete()) {
    update.ended_crashes.push_back(key);
  }
  for (const auto& [key, entry] : this->quarantines) {
    Quarantine narrowed = Narrowed(entry);
    if (!entry.sound.empty()) {
      if (entry.is_stored) update.ended_quarantines.push_back(key);
      if (!narrowed.parts.empty()) update.quarantines.push_back(narrowed);
      continue;
    }
    if (entry.wants_trial) {
      ++narrowed.trials;
      narrowed.trial_holder = this->options.holder;
    }
    if (!entry.is_stored || entry.has_grown || entry.wants_trial) {
      update.quarantines.push_back(narrowed);
    }
  }
  return update;
}

std::vector<QuarantineEvent> PromptQuarantine::TakeEvents() {
  return std::exchange(this->events, {});
}

Duration PromptQuarantine::TrialInterval(int64_t trials) const {
  Duration interval = this->options.first_trial_after;
  for (int64_t i = 0; i < trials; ++i) {
    if (interval >= this->options.max_trial_interval) break;
    interval = interval * this->options.trial_backoff;
  }
  return std::min(interval, this->options.max_trial_interval);
}

std::set<uint64_t> PromptQuarantine::SuspectParts() const {
  std::set<uint64_t> parts = this->evidence.AccusedParts();
  for (const auto& [key, entry] : this->quarantines) {
    parts.insert(entry.quarantine.parts.begin(), entry.quarantine.parts.end());
  }
  return parts;
}

Quarantine PromptQuarantine::Narrowed(const Entry& entry) {
  Quarantine narrowed = entry.quarantine;
  std::erase_if(narrowed.parts,
                [&entry](uint64_t part) { return entry.sound.contains(part); });
  return narrowed;
}

void PromptQuarantine::Report(QuarantineChange change,
                              const Quarantine& quarantine) {
  QuarantineEvent event;
  event.change = change;
  event.key = QuarantineKey(quarantine.parts);
  event.crashes = quarantine.crashes;
  event.organisations = static_cast<int64_t>(quarantine.organisations.size());
  event.trials = quarantine.trials;
  this->events.push_back(std::move(event));
}

void PromptQuarantine::Report(TimePoint now, QuarantineChange change,
                              const Suspicion& suspicion) {
  this->Report(change, AsQuarantine(suspicion));
  this->events.back().evidence = suspicion.keys;
  this->events.back().evidence_age_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now - suspicion.first_known)
          .count();
}

}  // namespace fuchsiadrum::serving
