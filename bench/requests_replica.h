#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bench/fakes/fake_log.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/request/shard_table.h"
#include "schema/record.pb.h"

namespace fuchsiadrum::bench::requests {

/// A small reader and appender of the log for one daemon: one batch in flight,
/// repeated until it is read back; batches read twice are folded once.
class MiniReplica {
 public:
  /// Called for each folded record.
  using OnFolded = std::function<void(LogPosition, const pb::Record&, Verdict)>;

  MiniReplica(VmRef self, request::ShardTable& table)
      : self(std::move(self)), table(table) {}

  /// Adds records to append.
  void Queue(std::vector<pb::Record>& records);
  /// The batch to send now; nullopt: nothing, or too early to repeat.
  std::optional<std::string> TakeAppend(TimePoint now);
  /// Folds all batches from the next offset on.
  void Read(const FakeLog& log, const OnFolded& on_folded);
  /// Takes over the state of a daemon that has read further.
  void LoadFrom(const MiniReplica& other);
  uint64_t Next() const { return this->next; }

 private:
  VmRef self;
  request::ShardTable& table;
  uint64_t next = 0;
  std::map<VmRef, uint64_t> folded;
  std::deque<pb::Record> queued;
  std::string in_flight;
  uint64_t sequence = 0;
  TimePoint sent;
};

}  // namespace fuchsiadrum::bench::requests
