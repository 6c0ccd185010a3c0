#include "fuchsiadrum/log/log_agent.h"

#include <algorithm>
#include <utility>

#include "fuchsiadrum/core/hash.h"
#include "fuchsiadrum/log/snapshot_writer.h"

namespace fuchsiadrum::log {
namespace {

// An alarm that nobody takes must not use up the memory.
constexpr size_t kMaxAlarms = 100;

bool IsWithin(TimePoint now, const std::optional<TimePoint>& since,
              Duration span) {
  return since && now >= *since && now - *since < span;
}

}  // namespace

LogAgent::LogAgent(LogAgentOptions options, Replica& replica,
                   const PeerView& peers)
    : options(std::move(options)),
      replica(replica),
      peers(peers),
      appender(this->options.appender),
      server(this->options.server, replica, this->appender),
      client(this->options.client, replica, this->appender, peers),
      schedule(this->options.schedule) {}

void LogAgent::OnLogBatches(TimePoint now, uint64_t from,
                            const std::vector<std::string>& batches,
                            Outbox& out) {
  this->direct_at = now;
  this->Fold(now, from, batches, out);
}

void LogAgent::OnLogBounds(TimePoint now, uint64_t first_retained,
                           uint64_t end) {
  this->direct_at = now;
  this->replica.OnBounds(now, first_retained, end);
  if (this->replica.Phase() == ReplicaPhase::kFolding) this->NoteMembers();
}

void LogAgent::OnLogUnreachable(TimePoint /*now*/) { this->direct_at.reset(); }

void LogAgent::Fold(TimePoint now, uint64_t from,
                    const std::vector<std::string>& batches, Outbox& out) {
  this->server.NoteBatches(from, batches);
  this->replica.OnBatches(now, from, batches, out);
  this->appender.OnFolded(
      this->replica.LastSequence(this->options.appender.self));
}

std::optional<std::string> LogAgent::NextAppend(TimePoint now, Outbox& out) {
  auto batch = this->appender.Next(now, this->replica.Format());
  if (!batch) return std::nullopt;

  const std::optional<VmRef> combiner = this->Combiner(now);
  if (!combiner) return batch;
  out.AddMessage(*combiner).mutable_append_relay()->set_batch(
      *std::move(batch));
  this->combine_sent = now;
  return std::nullopt;
}

void LogAgent::OnAppendAnswer(TimePoint now, bool stored) {
  this->appender.OnAnswer(now, stored);
}

std::optional<VmRef> LogAgent::Combiner(TimePoint now) const {
  const auto& alive = this->peers.AlivePeers();
  if (alive.size() + 1 <= this->options.combine_above ||
      IsWithin(now, this->bypass_since, this->options.combine_bypass)) {
    return std::nullopt;
  }

  const VmInfo& self = this->peers.Self();
  uint64_t lowest = Hash64(self.ref.vm);
  std::optional<VmRef> combiner;
  for (const VmInfo& peer : alive) {
    if (peer.availability_zone != self.availability_zone) continue;
    const uint64_t order = Hash64(peer.ref.vm);
    if (order >= lowest) continue;
    lowest = order;
    combiner = peer.ref;
  }
  return combiner;
}

void LogAgent::OnMessage(TimePoint now, const VmRef& from,
                         const pb::PeerMessage& message, Outbox& out) {
  const bool is_direct = this->IsDirect(now);
  switch (message.kind_case()) {
    case pb::PeerMessage::kHeartbeat: {
      const pb::Heartbeat& heartbeat = message.heartbeat();
      this->client.OnHeartbeat(from, heartbeat);
      auto alarm = this->replica.CompareDigest(from, heartbeat.digest_offset(),
                                               heartbeat.digest());
      if (alarm && this->alarms.size() < kMaxAlarms) {
        this->alarms.push_back(*std::move(alarm));
      }
      break;
    }
    case pb::PeerMessage::kReadRelay:
      this->server.OnReadRelay(from, message.read_relay(), is_direct, out);
      break;
    case pb::PeerMessage::kReadRelayReply: {
      const auto batches =
          this->client.OnReadReply(now, from, message.read_relay_reply());
      if (!batches.empty()) {
        this->Fold(now, message.read_relay_reply().from(), batches, out);
      }
      break;
    }
    case pb::PeerMessage::kAppendRelay:
      this->server.OnAppendRelay(now, from, message.append_relay(), is_direct,
                                 out);
      break;
    case pb::PeerMessage::kAppendRelayReply:
      if (this->combine_sent && message.append_relay_reply().sequence() ==
                                    this->appender.Sequence()) {
        this->combine_sent.reset();
        this->appender.OnAnswer(now, message.append_relay_reply().accepted());
      }
      break;
    case pb::PeerMessage::kStateAsk:
      this->server.OnStateAsk(now, from, message.state_ask(), out);
      break;
    case pb::PeerMessage::kStateReply:
      if (this->client.OnStateReply(now, from, message.state_reply(), out)) {
        this->appender.OnFolded(
            this->replica.LastSequence(this->options.appender.self));
      }
      break;
    default:
      break;
  }
}

void LogAgent::OnTick(TimePoint now, Outbox& out) {
  // A combining daemon that does not answer is bypassed for a while.
  if (this->combine_sent &&
      !IsWithin(now, this->combine_sent, this->options.combine_timeout)) {
    this->combine_sent.reset();
    this->bypass_since = now;
    this->appender.OnAnswer(now, false);
  }

  this->client.OnTick(now, this->IsDirect(now), out);
  this->GiveUpGapIfSafe(now);
  this->WriteSnapshotIfDue(now);
}

bool LogAgent::IsDirect(TimePoint now) const {
  return IsWithin(now, this->direct_at, this->options.direct_timeout);
}

std::vector<Reason> LogAgent::TakeAlarms() {
  return std::exchange(this->alarms, {});
}

void LogAgent::WriteSnapshotIfDue(TimePoint now) {
  // A snapshot whose chunks still wait is not followed by another.
  if (!this->IsDirect(now) || !this->replica.IsReady() ||
      this->appender.ChunkBytes() > 0) {
    return;
  }
  const bool is_due = this->schedule.IsDue(now, this->replica, this->peers) ||
                      std::exchange(this->snapshot_at_once, false);
  if (!is_due) return;

  std::vector<pb::Record> records;
  for (auto& chunk : SnapshotWriter::Chunks(
           this->replica.MakeSnapshot(), this->options.appender.self,
           this->options.snapshot_chunk_bytes)) {
    *records.emplace_back().mutable_snapshot_chunk() = std::move(chunk);
  }
  if (this->appender.Add(now, records)) ++this->snapshots_written;
}

void LogAgent::NoteMembers() {
  for (const VmInfo& peer : this->peers.AlivePeers()) {
    this->incarnations[peer.ref.vm] = peer.ref.incarnation;
  }
}

bool LogAgent::HasGap() const {
  return this->replica.Phase() == ReplicaPhase::kScanning &&
         this->replica.NeedsPeerState() && this->replica.FoldedOffset() > 0;
}

bool LogAgent::GiveUpGap(TimePoint now) {
  if (!this->HasGap()) return false;

  const uint64_t from = this->replica.FoldedOffset();
  const uint64_t to = this->replica.FirstRetained();
  this->alarms.push_back({.step = "log",
                          .peer = this->options.appender.self.ToString(),
                          .text = "the records from " + std::to_string(from) +
                                  " to " + std::to_string(to) +
                                  " are lost; the state before them goes on"});
  this->gap_given_up = {from, to};
  this->replica.AdoptGap(now, to);
  this->gap_since.reset();
  this->snapshot_at_once = true;
  return true;
}

void LogAgent::GiveUpGapIfSafe(TimePoint now) {
  if (!this->HasGap() || !this->IsDirect(now) || !this->HasNobodyFoldedGap()) {
    this->gap_since.reset();
    return;
  }
  if (!this->gap_since || now < *this->gap_since) this->gap_since = now;
  if (now - *this->gap_since >= this->options.give_up_after) {
    this->GiveUpGap(now);
  }
}

bool LogAgent::HasNobodyFoldedGap() const {
  const uint64_t own = this->replica.FoldedOffset();
  const std::string& own_name = this->peers.Self().ref.vm;

  for (const std::string& name : this->options.members) {
    if (name == own_name) continue;

    // A member that restarted may have folded and acted before.
    const auto& alive = this->peers.AlivePeers();
    const auto known = this->incarnations.find(name);
    const bool is_same =
        known != this->incarnations.end() &&
        std::any_of(alive.begin(), alive.end(), [&](const VmInfo& peer) {
          return peer.ref.vm == name && peer.ref.incarnation == known->second;
        });
    const pb::Heartbeat* const heartbeat = this->client.LastHeartbeat(name);
    if (!is_same || heartbeat == nullptr) return false;

    // The furthest one goes on, at equal offsets the first by name.
    if (heartbeat->log_offset() > own ||
        (heartbeat->log_offset() == own && name < own_name)) {
      return false;
    }
  }
  return true;
}

}  // namespace fuchsiadrum::log
