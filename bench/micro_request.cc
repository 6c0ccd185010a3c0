#include "bench/micro_request.h"

#include <malloc.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "bench/requests_peers.h"
#include "fuchsiadrum/request/admission.h"
#include "fuchsiadrum/request/claim_agent.h"

namespace fuchsiadrum::bench {
namespace {

using request::ClaimAgent;
using request::ShardTable;
using requests::FakePeerView;

constexpr int kClaims = 50000;

int64_t NowNs() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// One daemon of the measurement.
struct Vm {
  explicit Vm(const VmInfo& info, const std::vector<VmInfo>& fleet)
      : table({}), peers(info, fleet), agent(table, peers, {}, Rng(1)) {}

  ShardTable table;
  FakePeerView peers;
  ClaimAgent agent;
};

/// Home, witness and entry; messages are passed on by hand and timed.
class ClaimPath {
 public:
  ClaimPath() {
    for (const char* name : {"home", "witness", "entry"}) {
      this->infos.push_back({.ref = {name, 1}, .availability_zone = name});
    }
    for (const VmInfo& info : this->infos) {
      this->vms.push_back(std::make_unique<Vm>(info, this->infos));
    }
    for (uint32_t shard = 0; shard < this->vms[0]->table.Size(); ++shard) {
      this->Assign(shard);
    }
  }

  /// Runs one claim and its completion.
  void Call(int i) {
    const std::string id = "request-" + std::to_string(i);
    Outbox out;
    this->vms[2]->agent.Ask(this->now,
                            {.request_id = id,
                             .organisation = "organisation",
                             .key = "order-2026-12-04-" + std::to_string(i),
                             .body_digest = std::string(32, 'd'),
                             .work_class = pb::BOOKING},
                            out);
    this->Pass(2, out);
    this->vms[2]->agent.TakeDecisions();

    request::Completion completion{.ran = true, .outcome_known = true};
    completion.stored.set_status(200);
    completion.stored.set_outcome("complete");
    Outbox done;
    this->vms[2]->agent.Done(this->now, id, completion, done);
    this->Pass(2, done);
    this->vms[2]->agent.TakeBillings();
  }

  /// Nanoseconds spent in each daemon; bytes of all messages.
  std::vector<int64_t> spent = {0, 0, 0};
  uint64_t bytes = 0;
  uint64_t messages = 0;

 private:
  size_t IndexOf(const VmRef& ref) const {
    size_t i = 0;
    while (this->infos[i].ref != ref) ++i;
    return i;
  }
  void Assign(uint32_t shard) {
    pb::Record record;
    pb::ShardAssign& assign = *record.mutable_shard_assign();
    assign.set_shard(shard);
    *assign.mutable_home() = this->infos[0].ref.ToProto();
    *assign.mutable_witness() = this->infos[1].ref.ToProto();
    for (size_t i = 0; i < this->vms.size(); ++i) {
      Outbox out;
      const LogPosition at{shard + 1, 0};
      const Verdict verdict =
          this->vms[i]->table.Apply(at, this->infos[0].ref, record);
      this->vms[i]->agent.OnRecord(this->now, at, record, verdict, out);
      this->pending.push_back({i, std::move(out)});
    }
    for (auto& [from, out] : this->pending) this->Pass(from, out);
    this->pending.clear();
  }
  void Pass(size_t from, Outbox& first) {
    std::vector<std::pair<size_t, Envelope>> queue;
    for (Envelope& envelope : first.messages) {
      queue.emplace_back(from, std::move(envelope));
    }
    for (size_t i = 0; i < queue.size(); ++i) {
      const auto [sender, envelope] = queue[i];
      const size_t to = this->IndexOf(envelope.to);
      this->bytes += envelope.body.ByteSizeLong();
      ++this->messages;
      Outbox out;
      const int64_t begin = NowNs();
      this->vms[to]->agent.OnMessage(this->now, this->infos[sender].ref,
                                     envelope.body, out);
      this->spent[to] += NowNs() - begin;
      for (Envelope& next : out.messages) {
        queue.emplace_back(to, std::move(next));
      }
    }
  }

  TimePoint now{1'000'000};
  std::vector<VmInfo> infos;
  std::vector<std::unique_ptr<Vm>> vms;
  std::vector<std::pair<size_t, Outbox>> pending;
};

nlohmann::json MeasureClaims() {
  ClaimPath path;
  path.spent = {0, 0, 0};
  path.bytes = 0;
  path.messages = 0;
  const size_t before = mallinfo2().uordblks;
  for (int i = 0; i < kClaims; ++i) path.Call(i);
  const size_t after = mallinfo2().uordblks;

  return {{"claims", kClaims},
          {"home_ns", path.spent[0] / kClaims},
          {"witness_ns", path.spent[1] / kClaims},
          {"entry_ns", path.spent[2] / kClaims},
          {"messages", path.messages / kClaims},
          {"bytes", path.bytes / kClaims},
          // Home and witness each keep one record for each key.
          {"memory_bytes_per_intent", (after - before) / kClaims / 2}};
}

/// Nanoseconds for one request through a queue that is always full of
/// requests of all organisations.
int64_t AdmissionNs(int organisations) {
  constexpr int kRounds = 100000;
  const auto waiting = static_cast<uint64_t>(organisations);
  request::Admission admission({.max_queued = waiting + 1});
  std::vector<std::string> names;
  names.reserve(waiting);
  for (int i = 0; i < organisations; ++i) {
    names.push_back("organisation-" + std::to_string(i));
  }
  TimePoint now{1'000'000};
  const TimePoint deadline = now + std::chrono::hours(1);
  const auto offer = [&](uint64_t handle) {
    admission.Offer(now, {.handle = handle,
                          .organisation = names[handle % waiting],
                          .work_class = pb::SUGGESTION,
                          .tokens = Tokens(100),
                          .deadline = deadline});
  };
  for (uint64_t handle = 0; handle < waiting; ++handle) offer(handle);

  const int64_t begin = NowNs();
  for (int i = 0; i < kRounds; ++i) {
    offer(waiting + static_cast<uint64_t>(i));
    for (const uint64_t handle : admission.TakeStarts(now, 1)) {
      admission.OnFinished(now, handle, Tokens(100));
    }
    now = now + Duration(10);
  }
  return (NowNs() - begin) / kRounds;
}

}  // namespace

nlohmann::json MeasureRequest() {
  nlohmann::json admission;
  for (const int organisations : {10, 100, 1000, 6000}) {
    admission[std::to_string(organisations)] = AdmissionNs(organisations);
  }
  return {{"claim", MeasureClaims()},
          {"admission_ns_by_organisations", admission}};
}

}  // namespace fuchsiadrum::bench
