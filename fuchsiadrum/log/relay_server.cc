#include "fuchsiadrum/log/relay_server.h"

#include <algorithm>
#include <utility>

#include "fuchsiadrum/log/batch_codec.h"
#include "fuchsiadrum/log/snapshot_writer.h"

namespace fuchsiadrum::log {
namespace {

// Entries of peers that are long gone are dropped beyond this many.
constexpr size_t kMaxStatePeers = 4096;

}  // namespace

RelayServer::RelayServer(RelayServerOptions options, const Replica& replica,
                         Appender& appender)
    : options(std::move(options)),
      replica(replica),
      appender(appender),
      cache(this->options.cache_bytes) {}

void RelayServer::OnReadRelay(const VmRef& from, const pb::ReadRelay& ask,
                              bool log_reachable, Outbox& out) const {
  const size_t wanted =
      ask.max_records() == 0 ? this->options.reply_batches : ask.max_records();
  auto batches = this->cache.Read(ask.from(),
                                  std::min(wanted, this->options.reply_batches),
                                  this->options.reply_bytes);

  pb::ReadRelayReply& reply = *out.AddMessage(from).mutable_read_relay_reply();
  reply.set_from(ask.from());
  // What is older cannot be read here; the peer then asks for the state.
  reply.set_first_retained(this->cache.First());
  reply.set_log_reachable(log_reachable);
  for (std::string& batch : batches) reply.add_batches(std::move(batch));
}

void RelayServer::OnAppendRelay(TimePoint now, const VmRef& from,
                                const pb::AppendRelay& ask, bool log_reachable,
                                Outbox& out) {
  pb::Batch batch;
  if (OpenBatch(ask.batch(), this->options.fleet_key, batch) !=
      BatchCheck::kValid) {
    return;
  }

  const VmRef writer = VmRef::FromProto(batch.writer());
  const bool is_folded = this->replica.LastSequence(writer) >= batch.sequence();
  const bool taken =
      is_folded ||
      (log_reachable &&
       this->appender.AddRelayed(now, writer, batch.sequence(), ask.batch()));
  pb::AppendRelayReply& reply =
      *out.AddMessage(from).mutable_append_relay_reply();
  reply.set_sequence(batch.sequence());
  reply.set_accepted(taken);
}

void RelayServer::OnStateAsk(TimePoint now, const VmRef& from,
                             const pb::StateAsk& ask, Outbox& out) {
  if (this->replica.Phase() != ReplicaPhase::kFolding) return;
  const auto last = this->last_state.find(from);
  if (last != this->last_state.end() && now >= last->second &&
      now - last->second < this->options.state_spacing) {
    return;
  }
  if (this->last_state.size() >= kMaxStatePeers) this->last_state.clear();
  this->last_state[from] = now;

  const auto chunks = SnapshotWriter::Chunks(this->replica.MakeSnapshot(), from,
                                             this->options.chunk_bytes);
  for (const pb::SnapshotChunk& chunk : chunks) {
    pb::StateReply& reply = *out.AddMessage(from).mutable_state_reply();
    reply.set_ask_id(ask.ask_id());
    reply.set_index(chunk.index());
    reply.set_count(chunk.count());
    reply.set_data(chunk.data());
    reply.set_digest(chunk.digest());
  }
}

}  // namespace fuchsiadrum::log
