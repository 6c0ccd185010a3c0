#include "fuchsiadrum/node/log_link.h"

#include <iterator>
#include <utility>

namespace fuchsiadrum::node {

LogLink::LogLink(const log::ReplicaOptions& replica,
                 const log::AppenderOptions& appender,
                 std::vector<FoldPart*> parts, std::vector<Agent*> agents)
    : replica(replica, std::move(parts), std::move(agents)),
      appender(appender),
      self(appender.self) {}

void LogLink::OnBatches(TimePoint now, uint64_t from,
                        const std::vector<std::string>& batches, Outbox& out) {
  this->reachable = true;
  this->last_read = now;
  this->replica.OnBatches(now, from, batches, out);
  this->appender.OnFolded(this->replica.LastSequence(this->self));
}

void LogLink::OnBounds(TimePoint now, uint64_t first_retained, uint64_t end) {
  this->reachable = true;
  this->last_read = now;
  this->replica.OnBounds(now, first_retained, end);
}

void LogLink::Add(TimePoint now, std::vector<pb::Record> records) {
  if (records.empty() && this->backlog.empty()) return;
  this->backlog.insert(this->backlog.end(),
                       std::make_move_iterator(records.begin()),
                       std::make_move_iterator(records.end()));
  if (this->appender.Add(now, this->backlog)) this->backlog.clear();
}

std::optional<std::string> LogLink::Next(TimePoint now) {
  this->Add(now, {});
  return this->appender.Next(now, this->replica.Format());
}

}  // namespace fuchsiadrum::node
