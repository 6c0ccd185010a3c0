#include "bench/requests_clients.h"

#include <array>
#include <utility>

#include "fuchsiadrum/request/issued_key.h"
#include "fuchsiadrum/request/shard_table.h"

namespace fuchsiadrum::bench::requests {
namespace {

constexpr Duration kTimeLeft = std::chrono::seconds(4);
constexpr Duration kCallerTimeout = std::chrono::seconds(5);
constexpr int kOrganisations = 4;

/// Outcome that the callers note for a broken connection.
constexpr const char* kNoAnswer = "no answer";

}  // namespace

Clients::Clients(World& given, Rng seed) : world(given), rng(seed) {
  this->world.SetOnReply(
      [this](const CallSpec& call, const std::string& request_id,
             const Reply* reply) { this->OnReply(call, request_id, reply); });
}

void Clients::Run(TimePoint end, double calls_per_second) {
  const Duration gap(
      static_cast<int64_t>(this->rng.Exponential(1e6 / calls_per_second)));
  if (this->world.Queue().Now() + gap >= end) return;
  this->world.Queue().After(gap, [this, end, calls_per_second] {
    this->StartCall();
    this->Run(end, calls_per_second);
  });
}

CallSpec Clients::NewCall() {
  CallSpec call{
      .id = this->next_call++,
      .organisation = "o" + std::to_string(this->rng.Below(kOrganisations)),
      .length = static_cast<int>(this->rng.Between(1, 12))};
  const double kind = this->rng.Unit();
  if (kind < 0.45) {
    call.work_class = pb::BOOKING;
    this->NewKey(call);
  } else if (kind < 0.8) {
    constexpr std::array<pb::WorkClass, 3> kDocuments = {
        pb::CONTRACT_DRAFT, pb::SUGGESTION, pb::LETTER};
    call.idempotent = true;
    call.work_class = kDocuments[this->rng.Below(kDocuments.size())];
    this->NewKey(call);
  } else {
    call.idempotent = true;
    call.work_class =
        this->rng.Chance(0.5) ? pb::DRAW_CHECK : pb::QUICK_QUESTION;
  }
  return call;
}

void Clients::NewKey(CallSpec& call) {
  call.key = "k" + std::to_string(call.id);
  const double form = this->rng.Unit();
  if (form < 0.3) {
    call.key =
        this->world.ZoneName(this->rng.Below(World::kZones)) + "." + call.key;
  } else if (form < 0.6) {
    // A daemon issues the key; a paused or dead one cannot.
    World::Slot& slot = this->world.Slots()[this->rng.Below(World::kDaemons)];
    if (!slot.up || slot.paused) return;
    if (const auto issued = slot.daemon->Rules().IssueKey()) {
      call.key = *issued;
    }
  }
}

uint64_t Clients::Add(CallSpec call, int tries) {
  const uint64_t id = call.id;
  this->world.Record().OnCall(call);
  this->calls[id] = {.call = std::move(call), .tries_left = tries};
  return id;
}

void Clients::StartCall() {
  CallSpec call = this->NewCall();
  const bool keyed = !call.key.empty();
  const uint64_t id = this->Add(std::move(call), keyed ? 4 : 1);
  this->Try(id);

  // An impatient caller sends the call through a second daemon at once.
  if (keyed && this->rng.Chance(0.15)) {
    this->world.Queue().After(Duration(this->rng.Between(0, 400'000)),
                              [this, id] { this->Try(id); });
  }
}

void Clients::Try(uint64_t id) {
  Open& open = this->calls.at(id);
  if (open.tries_left <= 0) return;
  --open.tries_left;
  const std::string request_id =
      "r" + std::to_string(id) + "." + std::to_string(++open.tries);

  const size_t slot = this->rng.Below(World::kDaemons);
  if (!this->world.Call(slot, open.call, request_id, kTimeLeft)) {
    this->RetryLater(open);
    return;
  }
  this->world.Queue().After(kCallerTimeout, [this, id, request_id] {
    if (this->answered.contains(request_id)) return;
    this->answered.insert(request_id);
    this->RetryLater(this->calls.at(id));
  });
}

void Clients::RetryLater(Open& open) {
  if (open.tries_left <= 0) return;
  const uint64_t id = open.call.id;
  this->world.Queue().After(Duration(this->rng.Between(10'000, 2'500'000)),
                            [this, id] { this->Try(id); });
}

void Clients::OnReply(const CallSpec& call, const std::string& request_id,
                      const Reply* reply) {
  if (!this->answered.insert(request_id).second) return;
  const std::string outcome =
      reply == nullptr
          ? kNoAnswer
          : std::string(OutcomeText(reply->outcome)) + " " + reply->reason;
  if (this->sweeps.contains(call.id)) this->sweeps[call.id] = outcome;
  if (this->probes.contains(call.id)) this->probes[call.id] = outcome;

  Open& open = this->calls.at(call.id);
  if (reply != nullptr && reply->outcome == node::Outcome::kComplete) {
    // Some callers ask again although they have the answer.
    if (!this->rng.Chance(0.1)) open.tries_left = 0;
  }
  this->RetryLater(open);
}

void Clients::Sweep() {
  for (auto& [id, open] : this->calls) {
    if (open.call.idempotent || open.call.key.empty()) continue;
    if (this->world.Record().IsResolved(id)) continue;
    this->sweeps[id] = kNoAnswer;
    open.tries_left = 1;
    this->world.Queue().After(Duration(this->rng.Between(0, 2'000'000)),
                              [this, id = id] { this->Try(id); });
  }
}

void Clients::ProbeAt(size_t slot, CallSpec call) {
  call.id = this->next_call++;
  call.organisation = "o1";
  call.length = 3;
  if (call.key.empty() && call.work_class != pb::DRAW_CHECK) {
    call.key = "probe" + std::to_string(call.id);
  }
  const uint64_t id = this->Add(call, 0);
  this->probes[id] = kNoAnswer;
  this->world.Queue().After(
      Duration(this->rng.Between(0, 1'000'000)), [this, slot, id] {
        const CallSpec& probe = this->calls.at(id).call;
        this->world.Call(slot, probe, "p" + std::to_string(id), kTimeLeft);
      });
}

void Clients::Probe() {
  for (size_t slot = 0; slot < World::kDaemons; ++slot) {
    for (int c = pb::DRAW_CHECK; c <= pb::LETTER; ++c) {
      const auto work_class = static_cast<pb::WorkClass>(c);
      this->ProbeAt(slot, {.idempotent = work_class != pb::BOOKING,
                           .work_class = work_class});
    }
  }
}

void Clients::ProbeLostShards() {
  const request::ShardTable& table =
      this->world.Slots()[this->world.MostAdvanced()].daemon->Table();
  for (uint32_t shard = 0; shard < table.Size(); ++shard) {
    if (!table.At(shard).lost) continue;
    this->ProbeAt(
        this->rng.Below(World::kDaemons),
        {.key = request::IssueKey(shard, table.At(shard).term, this->rng),
         .work_class = pb::BOOKING});
  }
}

void Clients::Check() {
  const request::ShardTable& table =
      this->world.Slots()[this->world.MostAdvanced()].daemon->Table();
  RunRecord& record = this->world.Record();

  for (const auto& [id, outcome] : this->sweeps) {
    const CallSpec& call = this->calls.at(id).call;
    const std::string text = call.key + " -> " + outcome;
    const bool unknown = outcome.starts_with("unknown");
    if (!unknown && !outcome.starts_with("complete")) {
      record.Violate("refused_after_healing", text);
    }
    if (unknown &&
        !table.IsListed(call.organisation, request::KeyDigest(call.key))) {
      record.Violate("lost_not_listed", text);
    }
  }
  for (const auto& [id, outcome] : this->probes) {
    if (outcome.starts_with("complete")) continue;
    record.Violate("probe_failed",
                   this->calls.at(id).call.key + " " +
                       pb::WorkClass_Name(this->calls.at(id).call.work_class) +
                       " -> " + outcome);
  }
}

}  // namespace fuchsiadrum::bench::requests
