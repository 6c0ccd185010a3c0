#include "fuchsiadrum/upstream/upstream_table.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "fuchsiadrum/core/assert.h"

namespace fuchsiadrum::upstream {
namespace {

constexpr uint8_t Bit(LeavingSource source) {
  return static_cast<uint8_t>(source);
}

/// Removes one element without keeping the order.
void EraseValue(std::vector<UpstreamIndex>& list, UpstreamIndex value) {
  const auto found = std::find(list.begin(), list.end(), value);
  if (found == list.end()) return;
  *found = list.back();
  list.pop_back();
}

}  // namespace

UpstreamTable::UpstreamTable(UpstreamTableOptions options) : options(options) {}

UpstreamIndex UpstreamTable::Put(TimePoint now, const std::string& name,
                                 const pb::Upstream& entry) {
  const auto known = this->Find(name);
  const UpstreamIndex index = known ? *known : this->TakeSlot(name);
  this->RemoveFromGroups(index);
  UpstreamState& state = this->states[index];

  // A new address is another process: nothing observed of the old one holds.
  if (state.address != entry.address() && known) {
    state.models.clear();
    state.reports = 0;
    state.learned_limit = 0;
    this->extras[index].own_answer_at = now;
  }
  state.address = entry.address();
  state.service = entry.service();
  state.zone = this->InternZone(entry.availability_zone());
  state.checks_fencing = entry.checks_fencing();
  state.max_concurrency = static_cast<int>(entry.max_concurrency());
  this->SetSourceBit(index, LeavingSource::kCatalogue, entry.draining());

  this->AddToGroups(index);
  return index;
}

void UpstreamTable::Remove(std::string_view name) {
  const auto found = this->by_name.find(name);
  if (found == this->by_name.end()) return;
  const UpstreamIndex index = found->second;

  this->RemoveFromGroups(index);
  const uint32_t epoch = this->states[index].epoch;
  this->states[index] = UpstreamState{.epoch = epoch + 1};
  this->extras[index] = Extra{};
  this->by_name.erase(found);
  this->free_slots.push_back(index);
}

bool UpstreamTable::OnReport(TimePoint now, std::string_view name,
                             const LoadReport& report) {
  const auto index = this->Find(name);
  if (!index) return this->Unknown("report", name);
  UpstreamState& state = this->states[*index];
  this->FollowReachability(now, *index, report.reachable);
  if (!report.reachable) return true;

  // Routing trusts only what the upstream says that it serves.
  std::vector<std::string> models = report.models;
  std::sort(models.begin(), models.end());
  models.erase(std::unique(models.begin(), models.end()), models.end());
  if (state.models != models) {
    this->RemoveFromGroups(*index);
    state.models = std::move(models);
    this->AddToGroups(*index);
  }
  state.version = report.version;
  state.role = report.role;
  state.running = report.running;
  state.queued = report.queued;
  state.tokens_per_second = report.tokens_per_second;
  state.measured_at = now - this->options.report_lag;
  state.in_flight_at_report = this->InFlightAt(*index, state.measured_at);
  ++state.reports;

  return this->SetLeaving(now, name, LeavingSource::kOwnAnswer, report.leaving);
}

bool UpstreamTable::SetLeaving(TimePoint now, std::string_view name,
                               LeavingSource source, bool leaving) {
  const auto index = this->Find(name);
  if (!index) return this->Unknown("leaving", name);
  Extra& extra = this->extras[*index];

  if (source == LeavingSource::kOwnAnswer) {
    const bool said = (this->states[*index].leaving & Bit(source)) != 0;
    const bool held = now - extra.own_answer_at < this->options.own_answer_hold;
    if (!leaving && said && held) return true;
    if (leaving) extra.own_answer_at = now;
  }

  // The groups are large; they change only with the decision, not with every
  // report that confirms it.
  if (((this->states[*index].leaving & Bit(source)) != 0) == leaving) {
    return true;
  }
  this->RemoveFromGroups(*index);
  this->SetSourceBit(*index, source, leaving);
  this->AddToGroups(*index);
  return true;
}

void UpstreamTable::OnHint(TimePoint now, const pb::UpstreamHint& hint) {
  const auto index = this->Find(hint.upstream());
  if (!index || !hint.leaving() || hint.hops() >= this->options.max_hint_hops) {
    return;
  }
  Extra& extra = this->extras[*index];
  const bool fresh =
      (this->states[*index].leaving & Bit(LeavingSource::kPeerHint)) == 0;

  // A longer path does not renew a shorter one; otherwise two daemons would
  // keep each other's hints alive.
  const uint32_t hops = hint.hops() + 1;
  if (!fresh && hops > extra.hint_hops) return;
  extra.hint_at = now;
  extra.hint_hops = hops;
  this->SetLeaving(now, hint.upstream(), LeavingSource::kPeerHint, true);
}

void UpstreamTable::OnTick(TimePoint now) {
  for (UpstreamIndex index = 0; index < this->states.size(); ++index) {
    const UpstreamState& state = this->states[index];
    if ((state.leaving & Bit(LeavingSource::kPeerHint)) == 0) continue;
    if (now - this->extras[index].hint_at < this->options.hint_lifetime) {
      continue;
    }
    this->SetLeaving(now, state.name, LeavingSource::kPeerHint, false);
  }
}

std::vector<pb::UpstreamHint> UpstreamTable::Hints() const {
  std::vector<pb::UpstreamHint> hints;
  for (const auto& [name, index] : this->by_name) {
    const uint8_t leaving = this->states[index].leaving;
    if (leaving == 0) continue;
    pb::UpstreamHint& hint = hints.emplace_back();
    hint.set_upstream(name);
    hint.set_leaving(true);
    const bool first_hand = leaving != Bit(LeavingSource::kPeerHint);
    hint.set_hops(first_hand ? 0 : this->extras[index].hint_hops);
  }
  return hints;
}

void UpstreamTable::AddInFlight(TimePoint now, UpstreamIndex index) {
  this->NoteInFlight(now, index);
  ++this->states[index].in_flight;
}

void UpstreamTable::RemoveInFlight(TimePoint now, UpstreamIndex index) {
  UpstreamState& state = this->states[index];
  FD_ASSERT(state.in_flight > 0, "upstream: more ends than dispatches");
  this->NoteInFlight(now, index);
  --state.in_flight;
}

void UpstreamTable::SetEjected(UpstreamIndex index, bool ejected) {
  this->states[index].ejected = ejected;
}

void UpstreamTable::SetLearnedLimit(UpstreamIndex index, int limit) {
  this->states[index].learned_limit = limit;
}

std::optional<UpstreamIndex> UpstreamTable::Find(std::string_view name) const {
  const auto found = this->by_name.find(name);
  if (found == this->by_name.end()) return std::nullopt;
  return found->second;
}

const CandidateGroup* UpstreamTable::ForModel(std::string_view model) const {
  const auto found = this->model_groups.find(model);
  return found == this->model_groups.end() ? nullptr : &found->second;
}

const CandidateGroup* UpstreamTable::ForService(
    std::string_view service) const {
  const auto found = this->service_groups.find(service);
  return found == this->service_groups.end() ? nullptr : &found->second;
}

std::optional<ZoneIndex> UpstreamTable::FindZone(std::string_view zone) const {
  const auto found = std::find(this->zones.begin(), this->zones.end(), zone);
  if (found == this->zones.end()) return std::nullopt;
  return static_cast<ZoneIndex>(found - this->zones.begin());
}

size_t UpstreamTable::MemoryBytes() const {
  size_t bytes = this->states.capacity() * sizeof(UpstreamState) +
                 this->extras.capacity() * sizeof(Extra);
  // A node of a map of strings has about 48 bytes beside its value.
  constexpr size_t kNodeBytes = 48 + sizeof(std::string) + sizeof(uint64_t);
  bytes += this->by_name.size() * kNodeBytes;
  for (const UpstreamState& state : this->states) {
    bytes += state.models.capacity() * sizeof(std::string);
  }
  for (const GroupMap* groups : {&this->model_groups, &this->service_groups}) {
    for (const auto& [key, group] : *groups) {
      bytes += kNodeBytes + 2 * group.all.capacity() * sizeof(UpstreamIndex);
    }
  }
  return bytes;
}

ZoneIndex UpstreamTable::InternZone(const std::string& zone) {
  if (const auto known = this->FindZone(zone)) return *known;
  FD_ASSERT(this->zones.size() < std::numeric_limits<ZoneIndex>::max(),
            "upstream: too many zones");
  this->zones.push_back(zone);
  return static_cast<ZoneIndex>(this->zones.size() - 1);
}

UpstreamIndex UpstreamTable::TakeSlot(const std::string& name) {
  UpstreamIndex index = 0;
  if (this->free_slots.empty()) {
    index = static_cast<UpstreamIndex>(this->states.size());
    this->states.emplace_back();
    this->extras.emplace_back();
  } else {
    index = this->free_slots.back();
    this->free_slots.pop_back();
  }
  this->states[index].name = name;
  this->states[index].present = true;
  this->by_name.emplace(name, index);
  return index;
}

void UpstreamTable::FollowReachability(TimePoint now, UpstreamIndex index,
                                       bool answered) {
  UpstreamState& state = this->states[index];
  Extra& extra = this->extras[index];
  if (!answered) {
    state.reachable = false;
    extra.answers_since.reset();
    return;
  }
  if (state.reachable) return;
  if (!extra.answers_since) extra.answers_since = now;
  state.reachable = now - *extra.answers_since >= this->options.reconnect_hold;
}

void UpstreamTable::SetSourceBit(UpstreamIndex index, LeavingSource source,
                                 bool leaving) {
  uint8_t& bits = this->states[index].leaving;
  bits = leaving ? static_cast<uint8_t>(bits | Bit(source))
                 : static_cast<uint8_t>(bits & ~Bit(source));
}

void UpstreamTable::NoteInFlight(TimePoint now, UpstreamIndex index) {
  FlightHistory& history = this->extras[index].history;
  constexpr int64_t kSlotsPerLag = FlightHistory::kSlots / 2;
  const int64_t slot_us = this->options.report_lag.count() / kSlotsPerLag + 1;
  const size_t last =
      (history.next + FlightHistory::kSlots - 1) % FlightHistory::kSlots;

  // One entry for each slot of time: the number before its first change.
  if (history.until_us[last] / slot_us == now.us / slot_us &&
      history.until_us[last] != 0) {
    return;
  }
  history.until_us[history.next] = now.us;
  history.in_flight[history.next] = this->states[index].in_flight;
  history.next = (history.next + 1) % FlightHistory::kSlots;
}

int UpstreamTable::InFlightAt(UpstreamIndex index, TimePoint at) const {
  const FlightHistory& history = this->extras[index].history;
  int result = this->states[index].in_flight;

  // Entries from the newest to the oldest; each holds until its time.
  for (size_t i = 1; i <= FlightHistory::kSlots; ++i) {
    const size_t slot =
        (history.next + FlightHistory::kSlots - i) % FlightHistory::kSlots;
    if (history.until_us[slot] == 0 || history.until_us[slot] <= at.us) break;
    result = history.in_flight[slot];
  }
  return result;
}

void UpstreamTable::AddToGroups(UpstreamIndex index) {
  const UpstreamState& state = this->states[index];
  if (!state.AcceptsWork()) return;
  if (!state.service.empty()) {
    this->AddToGroup(this->service_groups[state.service], index);
    return;
  }
  for (const std::string& model : state.models) {
    this->AddToGroup(this->model_groups[model], index);
  }
}

void UpstreamTable::RemoveFromGroups(UpstreamIndex index) {
  const UpstreamState& state = this->states[index];
  if (!state.AcceptsWork()) return;
  if (!state.service.empty()) {
    RemoveFromGroup(this->service_groups, state.service, state.zone, index);
    return;
  }
  for (const std::string& model : state.models) {
    RemoveFromGroup(this->model_groups, model, state.zone, index);
  }
}

void UpstreamTable::AddToGroup(CandidateGroup& group, UpstreamIndex index) {
  const ZoneIndex zone = this->states[index].zone;
  if (group.by_zone.size() <= zone) group.by_zone.resize(zone + 1U);
  group.all.push_back(index);
  group.by_zone[zone].push_back(index);
}

void UpstreamTable::RemoveFromGroup(GroupMap& groups, const std::string& key,
                                    ZoneIndex zone, UpstreamIndex index) {
  const auto found = groups.find(key);
  if (found == groups.end()) return;
  EraseValue(found->second.all, index);
  if (zone < found->second.by_zone.size()) {
    EraseValue(found->second.by_zone[zone], index);
  }
  if (found->second.all.empty()) groups.erase(found);
}

bool UpstreamTable::Unknown(std::string_view step, std::string_view name) {
  this->reason = {.step = std::string(step),
                  .peer = std::string(name),
                  .text = "this upstream is not in the catalogue"};
  return false;
}

}  // namespace fuchsiadrum::upstream
