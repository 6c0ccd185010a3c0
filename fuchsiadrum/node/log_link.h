#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/core/outbox.h"
#include "fuchsiadrum/log/appender.h"
#include "fuchsiadrum/log/replica.h"

namespace fuchsiadrum::node {

/// What a node reads from and appends to the platform's log.
class LogLink {
 public:
  LogLink(const log::ReplicaOptions& replica,
          const log::AppenderOptions& appender, std::vector<FoldPart*> parts,
          std::vector<Agent*> agents);

  /// Consecutive batches from offset `from`.
  void OnBatches(TimePoint now, uint64_t from,
                 const std::vector<std::string>& batches, Outbox& out);
  /// The log answered a read.
  void OnBounds(TimePoint now, uint64_t first_retained, uint64_t end);
  /// A read failed.
  void OnUnreachable() { this->reachable = false; }
  /// The append in flight was answered.
  void OnAppendAnswer(TimePoint now, bool stored) {
    this->appender.OnAnswer(now, stored);
  }

  /// Takes records over; what does not fit yet is kept and offered again.
  void Add(TimePoint now, std::vector<pb::Record> records);
  /// Batch to append now; nullopt: none is due.
  std::optional<std::string> Next(TimePoint now);

  /// True while reads of the log succeed.
  bool IsReachable() const { return this->reachable; }
  /// Time since the last successful read.
  Duration Age(TimePoint now) const { return now - this->last_read; }
  /// True when everything that was added has been read back.
  bool IsFlushed() const {
    return this->backlog.empty() && this->appender.IsEmpty();
  }
  log::Replica& Reader() { return this->replica; }
  const log::Replica& Reader() const { return this->replica; }
  log::Appender& Writer() { return this->appender; }

 private:
  log::Replica replica;
  log::Appender appender;
  VmRef self;
  std::vector<pb::Record> backlog;
  bool reachable = false;
  TimePoint last_read;
};

}  // namespace fuchsiadrum::node
