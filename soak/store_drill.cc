#include "soak/store_drill.h"

#include <string>

#include "fuchsiadrum/core/duration.h"
#include "fuchsiadrum/core/hash.h"
#include "gateway/clock.h"
#include "soak/wire.h"

namespace fuchsiadrum::soak {
namespace {

using gateway::Now;

/// Times in seconds.
constexpr double kMaxAway = 0.6;
constexpr double kLeastCopyAge = 0.5;
constexpr double kMostCopyAge = 3;
constexpr double kMaxRewrite = 1.9;
/// Several versions fall into the age of a copy, so that the stream may grow
/// past a reader's lost position between two of its reads.
constexpr double kLeastVersionGap = 0.2;
constexpr double kMostVersionGap = 1.2;
constexpr double kMostCalm = 1.5;
/// Mean times for which heartbeats are written, and are not. Without them a
/// gateway takes its whole grants into use within 6 s.
constexpr double kMeanHeartbeats = 4;
constexpr double kMeanNoHeartbeats = 2;

}  // namespace

StoreDrill::StoreDrill(uint64_t seed, gateway::FakeStore& fake_store,
                       Observations& observations)
    : rng(Hash64("store", seed)),
      store(fake_store),
      seen(observations),
      heartbeat_rng(Hash64("heartbeats", seed)),
      next_switch(Now() + FromSeconds(kMeanHeartbeats)) {
  this->WriteNextVersion();
  this->next_version = this->Draw(Now(), 1, 2);
  this->next_step = this->Draw(Now(), 1, 2);
}

bool StoreDrill::OnTick(TimePoint now) {
  if (now >= this->next_switch) this->SwitchHeartbeats(now);
  // Operators write nothing new before what was lost.
  const bool may_write =
      this->step == Step::kCopy || this->step == Step::kLeave;
  if (may_write && now >= this->next_version) {
    this->WriteNextVersion();
    this->next_version = this->Draw(now, kLeastVersionGap, kMostVersionGap);
  }
  if (now < this->next_step) return false;

  switch (this->step) {
    case Step::kCopy:
      this->store.TakeCopy();
      this->step = Step::kLeave;
      this->next_step = this->Draw(now, kLeastCopyAge, kMostCopyAge);
      return false;
    case Step::kLeave:
      this->store.refusing = true;
      this->seen.AddStoreAway();
      this->step = Step::kReturn;
      this->next_step = this->Draw(now, 0, kMaxAway);
      return false;
    case Step::kReturn:
      this->step = Step::kRewrite;
      // Half of the operators and upstreams write before anybody reads.
      if (this->rng.Chance(0.5)) {
        this->store.RestoreCopy();
        this->WriteNewest();
        if (this->rng.Chance(0.5)) this->WriteNextVersion();
        this->next_step = now;
      } else {
        this->store.RestoreCopy();
        this->next_step = this->Draw(now, 0, kMaxRewrite);
      }
      this->ComeBack();
      return false;
    case Step::kRewrite:
      this->WriteNewest();
      this->step = Step::kCopy;
      this->next_step = this->Draw(now, 0, kMostCalm);
      this->next_version = this->Draw(now, 0, kMostVersionGap);
      return true;
  }
  return false;
}

void StoreDrill::SwitchHeartbeats(TimePoint now) {
  const bool refuses = !this->store.refuses_heartbeats;
  this->store.refuses_heartbeats = refuses;
  this->next_switch = now + FromSeconds(this->heartbeat_rng.Exponential(
                                refuses ? kMeanNoHeartbeats : kMeanHeartbeats));
}

void StoreDrill::Settle() {
  this->store.refuses_heartbeats = false;
  if (this->step == Step::kReturn) {
    this->store.RestoreCopy();
    this->ComeBack();
  }
  this->WriteNewest();
}

void StoreDrill::ComeBack() {
  this->store.refusing = false;
  this->seen.AddStoreBack();
}

void StoreDrill::WriteNextVersion() {
  this->store.Put(std::string(kTopicOperators), std::string(kKeyConfig),
                  EncodeConfig(this->seen.NewestVersion() + 1));
  this->seen.AddVersion();
}

void StoreDrill::WriteNewest() {
  this->store.Put(std::string(kTopicOperators), std::string(kKeyConfig),
                  EncodeConfig(this->seen.NewestVersion()));
}

TimePoint StoreDrill::Draw(TimePoint now, double least, double most) {
  return now + FromSeconds(least + (most - least) * this->rng.Unit());
}

}  // namespace fuchsiadrum::soak
