#include "bench/catalogue_operators.h"

#include <utility>

namespace fuchsiadrum::bench {
namespace {

constexpr int kKeys = 8;
// An author who is not told the fate of an edit sends it again after this.
constexpr Duration kResendAfter = Duration(4'000'000);
constexpr Duration kAskInterval = Duration(200'000);

}  // namespace

void CatalogueOperators::Start(TimePoint end) {
  this->ScheduleEdit(end);
  this->ScheduleAsk();
}

void CatalogueOperators::ScheduleEdit(TimePoint end) {
  const Duration wait(this->rng.Between(100'000, 900'000));
  this->queue.After(wait, [this, end] {
    if (this->queue.Now() >= end) return;
    this->EditOnce();
    this->ScheduleEdit(end);
  });
}

void CatalogueOperators::ScheduleAsk() {
  this->queue.After(kAskInterval, [this] {
    for (size_t i = this->first_open; i < this->edits.size(); ++i) {
      if (!this->edits[i].learned) this->Ask(this->edits[i]);
    }
    while (this->first_open < this->edits.size() &&
           this->edits[this->first_open].learned) {
      ++this->first_open;
    }
    this->ScheduleAsk();
  });
}

void CatalogueOperators::EditOnce() {
  const std::string key = "setting/s" + std::to_string(this->rng.Below(kKeys));
  const bool race = this->rng.Chance(0.4);
  const auto first = this->AnyReadyDaemon();
  if (first) this->Submit(*first, "root", key);

  // The other operator edits the same entry before the first edit is read.
  const auto second = this->AnyReadyDaemon();
  if (race && second) this->Submit(*second, "root", key);
}

void CatalogueOperators::Submit(size_t daemon, const std::string& author,
                                const std::string& key) {
  const auto& catalogue = this->fleet.Slots()[daemon].daemon->catalogue;
  const auto* const row = catalogue.Find(key);
  const uint64_t present = row == nullptr ? 0 : row->revision;
  const uint64_t old = std::exchange(this->seen[key], present);
  // Some edits are based on what the operator saw the last time.
  const uint64_t base = this->rng.Chance(0.15) ? old : present;

  AuthoredEdit authored;
  pb::CatalogueEdit& edit = authored.edit;
  edit.set_key(key);
  edit.set_base_revision(base);
  edit.set_author(author);
  edit.set_shift(this->rng.Chance(0.5) ? "morning" : "afternoon");
  edit.set_unix_ms(this->queue.Now().us / 1000);
  edit.set_edit_id("e" + std::to_string(this->edits.size()));
  if (row == nullptr || !this->rng.Chance(0.1)) {
    pb::CatalogueEntry& entry = *edit.mutable_entry();
    entry.set_name(key.substr(key.find('/') + 1));
    entry.set_owner("fleet");
    entry.mutable_setting()->set_value(std::to_string(this->rng.Below(1000)));
  }

  // A daemon that knows of the conflict refuses at once; half of the operators
  // send the edit all the same.
  if (catalogue.Check(edit) && this->rng.Chance(0.5)) {
    ++this->refused;
    return;
  }
  authored.submitted = this->queue.Now();
  if (this->Send(daemon, authored)) {
    this->edits.push_back(std::move(authored));
  } else {
    ++this->refused;
  }
}

bool CatalogueOperators::Send(size_t daemon, AuthoredEdit& authored) {
  FleetSlot& slot = this->fleet.Slots()[daemon];
  // Without the log edits are refused; the operator tries again later.
  if (!slot.daemon->membership.IsLogReachable()) return false;

  pb::Record record;
  *record.mutable_catalogue_edit() = authored.edit;
  if (!slot.daemon->log.AddRecords(this->queue.Now(), {record})) return false;

  authored.last_sent = this->queue.Now();
  authored.taken_by.push_back(slot.info.ref);
  return true;
}

void CatalogueOperators::Ask(AuthoredEdit& authored) {
  // Any ready daemon may answer, not only the one that took the edit.
  const auto daemon = this->AnyReadyDaemon();
  if (!daemon) return;
  const auto& catalogue = this->fleet.Slots()[*daemon].daemon->catalogue;
  authored.learned = catalogue.VerdictOf(authored.edit.edit_id());
  if (authored.learned) {
    authored.learned_after = this->queue.Now() - authored.submitted;
    return;
  }

  if (this->queue.Now() - authored.last_sent >= kResendAfter) {
    this->Send(*daemon, authored);
  }
}

std::optional<size_t> CatalogueOperators::AnyReadyDaemon() {
  const size_t count = this->fleet.Slots().size();
  const size_t start = this->rng.Below(count);
  for (size_t i = 0; i < count; ++i) {
    const size_t index = (start + i) % count;
    if (this->fleet.IsReady(index)) return index;
  }
  return std::nullopt;
}

}  // namespace fuchsiadrum::bench
