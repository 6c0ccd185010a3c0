#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "schema/peer.pb.h"

namespace fuchsiadrum::request {

/// What a home knows about one key.
struct KeyRecord {
  pb::Intent intent;
  /// Store that told the witness about the last change.
  uint64_t sequence = 0;
  /// Moment of the last change of the phase, by the local clock.
  TimePoint since;
  /// Changes with each change of the phase.
  uint64_t serial = 0;
};

/// The keys of one shard, with an index of the running ones.
class KeyTable {
 public:
  /// Index of a key: organisation and key with a separator.
  static std::string IndexOf(const pb::ClaimKey& key);

  /// The record; nullptr if the key is not known.
  KeyRecord* Find(const std::string& index);
  /// Adds or replaces a record.
  KeyRecord& Put(const pb::Intent& intent, TimePoint now);
  /// Changes the phase of a record that was found by Find.
  void SetPhase(KeyRecord& record, pb::IntentPhase phase, TimePoint now);
  void Erase(const std::string& index);

  /// Indices of keys whose intent has no outcome yet.
  const std::set<std::string>& Running() const { return this->running; }
  /// All records by index; the order is the same on every machine.
  std::vector<KeyRecord*> Sorted();
  size_t Count() const { return this->records.size(); }

 private:
  std::unordered_map<std::string, KeyRecord> records;
  std::set<std::string> running;
  uint64_t next_serial = 1;
};

}  // namespace fuchsiadrum::request
