#include "fuchsiadrum/log/writer_table.h"

#include <utility>

#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::log {

SequenceCheck WriterTable::Check(const VmRef& writer, uint64_t sequence) const {
  const uint64_t last = this->Last(writer);
  if (sequence <= last) return SequenceCheck::kSeen;
  return sequence == last + 1 ? SequenceCheck::kNext : SequenceCheck::kGap;
}

void WriterTable::Advance(const VmRef& writer, uint64_t sequence) {
  const auto found = this->by_ref.find(writer);

  if (found != this->by_ref.end()) {
    Writer& entry = *found->second;
    FD_ASSERT(sequence > entry.sequence, "log: a sequence went backwards");
    this->digest -= DigestOf(entry);
    entry.sequence = sequence;
    this->digest += DigestOf(entry);
    this->order.splice(this->order.end(), this->order, found->second);
    return;
  }

  this->order.push_back({.ref = writer, .sequence = sequence});
  this->by_ref.emplace(writer, std::prev(this->order.end()));
  this->digest += DigestOf(this->order.back());

  if (this->order.size() > kMaxWriters) {
    this->digest -= DigestOf(this->order.front());
    this->by_ref.erase(this->order.front().ref);
    this->order.pop_front();
  }
}

uint64_t WriterTable::Last(const VmRef& writer) const {
  const auto found = this->by_ref.find(writer);
  return found == this->by_ref.end() ? 0 : found->second->sequence;
}

void WriterTable::Save(pb::Snapshot& snapshot) const {
  for (const Writer& writer : this->order) {
    pb::WriterState& out = *snapshot.add_writers();
    *out.mutable_writer() = writer.ref.ToProto();
    out.set_sequence(writer.sequence);
  }
}

bool WriterTable::Load(const pb::Snapshot& snapshot) {
  WriterTable loaded;
  for (const pb::WriterState& state : snapshot.writers()) {
    const VmRef ref = VmRef::FromProto(state.writer());
    if (state.sequence() == 0 || loaded.by_ref.contains(ref)) return false;
    loaded.Advance(ref, state.sequence());
  }

  // Moving a list keeps its iterators valid.
  this->order = std::move(loaded.order);
  this->by_ref = std::move(loaded.by_ref);
  this->digest = loaded.digest;
  return true;
}

uint64_t WriterTable::DigestOf(const Writer& writer) {
  return Hash64(writer.ref.vm, writer.ref.incarnation * 0x9E3779B97F4A7C15ULL +
                                   writer.sequence);
}

}  // namespace fuchsiadrum::log
