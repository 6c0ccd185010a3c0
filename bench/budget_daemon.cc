#include "bench/budget_daemon.h"

#include <utility>

namespace fuchsiadrum::bench {
namespace {

constexpr Duration kSuspect = std::chrono::seconds(3);
constexpr Duration kLogSilence = std::chrono::milliseconds(1500);

}  // namespace

std::optional<Duration> HeartbeatView::SilentFor(TimePoint now,
                                                 const VmRef& peer) const {
  const auto found = this->heard.find(peer.vm);
  if (found == this->heard.end()) return std::nullopt;
  const uint64_t known = found->second.info.ref.incarnation;
  if (known > peer.incarnation) return Duration::max();
  if (known < peer.incarnation) return std::nullopt;
  return now - found->second.at;
}

void HeartbeatView::OnHeartbeat(TimePoint now, const VmInfo& from) {
  Heard& heard = this->heard[from.ref.vm];
  if (from.ref.incarnation < heard.info.ref.incarnation) return;
  heard = {from, now};
}

void HeartbeatView::Refresh(TimePoint now) {
  this->alive.clear();
  for (const auto& [vm, heard] : this->heard) {
    if (now - heard.at <= kSuspect) this->alive.push_back(heard.info);
  }
  this->log_reachable = now - this->last_log_answer <= kLogSilence;
}

void BudgetDaemon::Fold(TimePoint now, uint64_t offset,
                        const std::string& bytes) {
  pb::Batch parsed;
  parsed.ParseFromString(bytes);
  const VmRef writer = VmRef::FromProto(parsed.writer());
  this->next_offset = offset + 1;
  if (!this->caught_up && offset >= this->start_end) {
    this->caught_up = true;
    this->policy->OnCaughtUp();
  }

  uint64_t& last = this->folded[writer];
  if (parsed.sequence() > last) {
    last = parsed.sequence();
    LogPosition at{offset, 0};
    for (const pb::Record& record : parsed.records()) {
      this->policy->OnRecord(now, at, writer, record, this->out);
      ++at.index;
    }
  }
  if (writer == this->Ref() && parsed.sequence() == this->batch_sequence) {
    this->batch.clear();
    this->append_in_flight = false;
  }
}

std::optional<std::string> BudgetDaemon::BatchToAppend() {
  for (pb::Record& record : this->out.records) {
    this->queue.push_back(std::move(record));
  }
  this->out.records.clear();
  if (this->append_in_flight) return std::nullopt;

  if (this->batch.empty()) {
    if (this->queue.empty()) return std::nullopt;
    pb::Batch next;
    *next.mutable_writer() = this->Ref().ToProto();
    next.set_sequence(++this->batch_sequence);
    for (pb::Record& record : this->queue) {
      *next.add_records() = std::move(record);
    }
    this->queue.clear();
    // The MAC of the real replica, 32 bytes.
    next.set_mac(std::string(32, '\0'));
    this->batch = next.SerializeAsString();
    this->bytes.appended += this->batch.size();
  }
  this->append_in_flight = true;
  return this->batch;
}

void BudgetDaemon::LoadState(TimePoint now, BudgetDaemon& from) {
  pb::Snapshot snapshot;
  from.policy->ProductLedger()->Save(snapshot);
  this->policy->ProductLedger()->Load(snapshot);
  this->folded = from.folded;
  this->next_offset = from.next_offset;
  this->policy->ProductAgent()->OnStateLoaded(now, this->out);
}

}  // namespace fuchsiadrum::bench
