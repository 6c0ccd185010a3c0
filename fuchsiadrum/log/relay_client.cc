#include "fuchsiadrum/log/relay_client.h"

#include <algorithm>

namespace fuchsiadrum::log {
namespace {

/// True if `wait` has passed since `last`, or the clock went backwards.
bool HasPassed(TimePoint now, const std::optional<TimePoint>& last,
               Duration wait) {
  return !last || now < *last || now - *last >= wait;
}

}  // namespace

RelayClient::RelayClient(RelayClientOptions options, Replica& replica,
                         const Appender& appender, const PeerView& peers)
    : options(options), replica(replica), appender(appender), peers(peers) {}

void RelayClient::OnTick(TimePoint now, bool is_direct, Outbox& out) {
  if (!this->started_at) this->started_at = now;

  // Each outage starts with the full time for the first peer to answer.
  if (this->was_direct != is_direct) this->read_reply_at = now;
  this->was_direct = is_direct;

  if (!is_direct) this->Read(now, out);
  this->RelayAppend(now, out);

  // At the start the log gets the chance to provide the state.
  const bool wants_state =
      this->wants_jump ||
      (this->replica.NeedsPeerState() &&
       HasPassed(now, this->started_at, this->options.state_timeout));
  if (wants_state) this->AskState(now, out);
}

void RelayClient::OnHeartbeat(const VmRef& from,
                              const pb::Heartbeat& heartbeat) {
  this->heartbeats[from.vm] = heartbeat;
}

std::vector<VmRef> RelayClient::Candidates() const {
  struct Candidate {
    bool reaches_log;
    uint64_t offset;
    VmRef ref;
  };
  std::vector<Candidate> found;
  for (const VmInfo& peer : this->peers.AlivePeers()) {
    const pb::Heartbeat* const heartbeat = this->LastHeartbeat(peer.ref.vm);
    if (heartbeat == nullptr) continue;
    found.push_back(
        {heartbeat->log_reachable(), heartbeat->log_offset(), peer.ref});
  }

  std::sort(found.begin(), found.end(),
            [](const Candidate& a, const Candidate& b) {
              if (a.reaches_log != b.reaches_log) return a.reaches_log;
              if (a.offset != b.offset) return a.offset > b.offset;
              return a.ref < b.ref;
            });
  std::vector<VmRef> out;
  out.reserve(found.size());
  for (const Candidate& candidate : found) out.push_back(candidate.ref);
  return out;
}

void RelayClient::Read(TimePoint now, Outbox& out) {
  if (!HasPassed(now, this->read_at, this->options.read_interval)) return;
  const std::vector<VmRef> candidates = this->Candidates();
  if (candidates.empty()) return;

  if (HasPassed(now, this->read_reply_at, this->options.read_timeout)) {
    ++this->read_turn;
    this->read_reply_at = now;
  }
  this->read_at = now;
  const VmRef& peer = candidates[this->read_turn % candidates.size()];
  out.AddMessage(peer).mutable_read_relay()->set_from(
      this->replica.NextOffset());
}

void RelayClient::RelayAppend(TimePoint now, Outbox& out) {
  if (!this->appender.InFlight() ||
      !HasPassed(now, this->appender.InFlightSince(),
                 this->options.append_after) ||
      !HasPassed(now, this->appended_at, this->options.append_interval)) {
    return;
  }
  const std::vector<VmRef> candidates = this->Candidates();
  if (candidates.empty()) return;

  this->appended_at = now;
  const VmRef& peer = candidates[this->append_turn++ % candidates.size()];
  out.AddMessage(peer).mutable_append_relay()->set_batch(
      *this->appender.InFlight());
}

void RelayClient::AskState(TimePoint now, Outbox& out) {
  if (!HasPassed(now, this->state_asked_at, this->options.state_timeout)) {
    return;
  }
  std::vector<VmRef> candidates = this->Candidates();
  std::erase_if(candidates, [&](const VmRef& peer) {
    return this->LastHeartbeat(peer.vm)->log_offset() <
           std::max(this->replica.FoldedOffset(),
                    this->replica.FirstRetained());
  });
  if (candidates.empty()) return;

  this->state_asked_at = now;
  this->state_reader.Clear();
  const VmRef& peer = candidates[this->ask_id++ % candidates.size()];
  out.AddMessage(peer).mutable_state_ask()->set_ask_id(this->ask_id);
}

std::vector<std::string> RelayClient::OnReadReply(
    TimePoint now, const VmRef& /*from*/, const pb::ReadRelayReply& reply) {
  this->read_reply_at = now;
  if (reply.log_reachable()) this->reachable_at = now;

  const uint64_t next = this->replica.NextOffset();
  if (reply.from() != next) return {};
  if (reply.batches().empty()) {
    this->wants_jump = reply.first_retained() > next;
    if (!this->wants_jump && reply.log_reachable()) {
      this->replica.NoteCaughtUp();
    }
    return {};
  }
  return {reply.batches().begin(), reply.batches().end()};
}

bool RelayClient::OnStateReply(TimePoint now, const VmRef& from,
                               const pb::StateReply& reply, Outbox& out) {
  if (reply.ask_id() != this->ask_id) return false;

  // The base offset is inside the state; the id keeps answers apart.
  pb::SnapshotChunk chunk;
  chunk.set_snapshot_id(from.ToString() + "#" + std::to_string(this->ask_id));
  chunk.set_index(reply.index());
  chunk.set_count(reply.count());
  chunk.set_digest(reply.digest());
  chunk.set_data(reply.data());
  const auto state = this->state_reader.AddState(chunk);
  if (!state || !this->replica.LoadState(now, *state, out)) return false;

  this->wants_jump = false;
  return true;
}

bool RelayClient::IsRelayReachable(TimePoint now) const {
  return this->reachable_at && now >= *this->reachable_at &&
         now - *this->reachable_at < 4 * this->options.read_timeout;
}

const pb::Heartbeat* RelayClient::LastHeartbeat(const std::string& vm) const {
  const auto found = this->heartbeats.find(vm);
  return found == this->heartbeats.end() ? nullptr : &found->second;
}

}  // namespace fuchsiadrum::log
