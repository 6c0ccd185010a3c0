#include "fuchsiadrum/request/shard_table.h"

#include <algorithm>

#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/core/hash.h"
#include "fuchsiadrum/request/issued_key.h"

namespace fuchsiadrum::request {
namespace {

constexpr size_t kKeyDigestDigits = 32;

bool IsPair(const pb::VmRef& home, const pb::VmRef& witness) {
  return !home.vm().empty() && !witness.vm().empty() &&
         home.vm() != witness.vm();
}

void Appoint(Shard& shard, LogPosition at, const pb::VmRef& home,
             const pb::VmRef& witness) {
  shard.home = VmRef::FromProto(home);
  shard.witness = VmRef::FromProto(witness);
  shard.term = at;
  shard.witness_term = at;
}

}  // namespace

std::string KeyDigest(std::string_view key) {
  return ToHex(Sha256(key)).substr(0, kKeyDigestDigits);
}

ShardTable::ShardTable(ShardTableOptions given)
    : options(std::move(given)), shards(this->options.shards) {
  FD_ASSERT(this->options.shards > 0, "request: a table needs a shard");

  // The order of the settings must not matter: it decides where keys go.
  std::vector<std::string>& zones = this->options.zones;
  std::sort(zones.begin(), zones.end());
  zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
  // A zone without a shard of its own could not serve its keys.
  if (zones.size() > this->options.shards) zones.clear();
}

Verdict ShardTable::Apply(LogPosition at, const VmRef& /*writer*/,
                          const pb::Record& record) {
  switch (record.kind_case()) {
    case pb::Record::kShardAssign:
      return this->Assign(at, record.shard_assign());
    case pb::Record::kShardTakeOver:
      return this->ChangeHome(at, record.shard_take_over());
    case pb::Record::kShardReplaceWitness:
      return this->ReplaceWitness(at, record.shard_replace_witness());
    case pb::Record::kShardHandOver:
      return this->ChangeHome(at, record.shard_hand_over());
    case pb::Record::kShardReset:
      return this->Reset(at, record.shard_reset());
    case pb::Record::kShardReopen:
      return this->Reopen(record.shard_reopen());
    case pb::Record::kLostRequest:
      return this->List(record.lost_request());
    default:
      return Verdict::kNotMine;
  }
}

Shard* ShardTable::Current(uint32_t shard, const pb::Position& term) {
  if (shard >= this->Size()) return nullptr;
  Shard& state = this->shards[shard];
  const bool current =
      state.HasHome() && state.witness_term == LogPosition::FromProto(term);
  return current ? &state : nullptr;
}

Verdict ShardTable::Assign(LogPosition at, const pb::ShardAssign& record) {
  if (record.shard() >= this->Size()) return Verdict::kRejected;
  Shard& state = this->shards[record.shard()];
  if (state.HasHome() || !IsPair(record.home(), record.witness())) {
    return Verdict::kRejected;
  }

  Appoint(state, at, record.home(), record.witness());
  return Verdict::kAccepted;
}

Verdict ShardTable::ReplaceWitness(LogPosition at,
                                   const pb::ShardReplaceWitness& record) {
  Shard* state = this->Current(record.shard(), record.term());
  if (state == nullptr || !IsPair(state->home.ToProto(), record.witness())) {
    return Verdict::kRejected;
  }

  state->witness = VmRef::FromProto(record.witness());
  state->witness_term = at;
  return Verdict::kAccepted;
}

template <typename ChangeOfHome>
Verdict ShardTable::ChangeHome(LogPosition at, const ChangeOfHome& record) {
  Shard* state = this->Current(record.shard(), record.term());
  if (state == nullptr || !IsPair(record.home(), record.witness())) {
    return Verdict::kRejected;
  }
  // Only the witness holds a copy of the intents.
  if (VmRef::FromProto(record.home()) != state->witness) {
    return Verdict::kRejected;
  }

  const LogPosition base = state->witness_term;
  Appoint(*state, at, record.home(), record.witness());
  state->base_term = base;
  FD_ASSERT(base < at, "request: a term must follow its base");
  return Verdict::kAccepted;
}

Verdict ShardTable::Reset(LogPosition at, const pb::ShardReset& record) {
  Shard* state = this->Current(record.shard(), record.term());
  if (state == nullptr || !IsPair(record.home(), record.witness())) {
    return Verdict::kRejected;
  }

  Appoint(*state, at, record.home(), record.witness());
  state->base_term.reset();
  state->lost = true;
  state->lost_at = at;
  return Verdict::kAccepted;
}

Verdict ShardTable::Reopen(const pb::ShardReopen& record) {
  if (record.shard() >= this->Size()) return Verdict::kRejected;
  Shard& state = this->shards[record.shard()];
  if (!state.lost) return Verdict::kDuplicate;

  state.lost = false;
  return Verdict::kAccepted;
}

Verdict ShardTable::List(const pb::LostRequest& record) {
  if (this->IsListed(record.organisation(), record.key_digest())) {
    return Verdict::kDuplicate;
  }

  this->Append(record);
  ++this->lost_total;
  return Verdict::kAccepted;
}

void ShardTable::Append(const pb::LostRequest& request) {
  this->lost_requests.push_back(request);
  this->listed.emplace(request.organisation(), request.key_digest());

  while (this->lost_requests.size() > this->options.max_lost_requests) {
    const pb::LostRequest& oldest = this->lost_requests.front();
    this->listed.erase({oldest.organisation(), oldest.key_digest()});
    this->lost_requests.pop_front();
  }
}

void ShardTable::Save(pb::Snapshot& snapshot) const {
  pb::ShardTableState& state = *snapshot.mutable_shards();
  state.Clear();

  for (uint32_t i = 0; i < this->Size(); ++i) {
    const Shard& shard = this->shards[i];
    if (!shard.HasHome()) continue;
    pb::ShardState& saved = *state.add_shards();
    saved.set_shard(i);
    *saved.mutable_home() = shard.home.ToProto();
    *saved.mutable_witness() = shard.witness.ToProto();
    *saved.mutable_term() = shard.term.ToProto();
    *saved.mutable_witness_term() = shard.witness_term.ToProto();
    saved.set_lost(shard.lost);
    *saved.mutable_lost_at() = shard.lost_at.ToProto();
    saved.set_continued(shard.base_term.has_value());
    if (shard.base_term) {
      *saved.mutable_base_term() = shard.base_term->ToProto();
    }
  }

  for (const pb::LostRequest& request : this->lost_requests) {
    *state.add_lost_requests() = request;
  }
  state.set_lost_total(this->lost_total);
}

bool ShardTable::Load(const pb::Snapshot& snapshot) {
  const pb::ShardTableState& state = snapshot.shards();
  std::vector<Shard> loaded(this->Size());

  for (const pb::ShardState& saved : state.shards()) {
    if (saved.shard() >= loaded.size()) return false;
    if (!IsPair(saved.home(), saved.witness())) return false;
    Shard& shard = loaded[saved.shard()];
    shard.home = VmRef::FromProto(saved.home());
    shard.witness = VmRef::FromProto(saved.witness());
    shard.term = LogPosition::FromProto(saved.term());
    shard.witness_term = LogPosition::FromProto(saved.witness_term());
    shard.lost = saved.lost();
    shard.lost_at = LogPosition::FromProto(saved.lost_at());
    if (saved.continued()) {
      shard.base_term = LogPosition::FromProto(saved.base_term());
    }
  }

  this->shards = std::move(loaded);
  this->lost_requests.clear();
  this->listed.clear();
  for (const pb::LostRequest& request : state.lost_requests()) {
    this->Append(request);
  }
  this->lost_total = state.lost_total();
  return true;
}

uint64_t ShardTable::Digest() const {
  pb::Snapshot snapshot;
  this->Save(snapshot);

  // Shard count and zones decide where keys go; daemons that differ in them
  // must show different digests.
  std::string bytes = snapshot.SerializeAsString();
  bytes += std::to_string(this->options.shards);
  for (const std::string& zone : this->options.zones) bytes += "/" + zone;
  return Hash64(bytes);
}

uint32_t ShardTable::ShardOf(std::string_view organisation,
                             std::string_view key) const {
  if (const auto issued = ParseIssuedKey(key)) {
    return issued->shard % this->Size();
  }

  std::string text(organisation);
  text += '\0';
  text += key;
  const uint64_t hash = Hash64(text);

  const std::vector<std::string>& zones = this->options.zones;
  const auto zone =
      std::find(zones.begin(), zones.end(), key.substr(0, key.find('.')));
  if (zone == zones.end() || key.find('.') == std::string_view::npos) {
    return static_cast<uint32_t>(hash % this->Size());
  }

  // Shards of zone i are i, i + zones, i + 2 * zones and so on.
  const auto first = static_cast<uint32_t>(zone - zones.begin());
  const auto step = static_cast<uint32_t>(zones.size());
  const uint32_t count = (this->Size() - first + step - 1) / step;
  return first + static_cast<uint32_t>(hash % count) * step;
}

std::string_view ShardTable::ZoneOf(uint32_t shard) const {
  const std::vector<std::string>& zones = this->options.zones;
  return zones.empty() ? std::string_view() : zones[shard % zones.size()];
}

}  // namespace fuchsiadrum::request
