#include "fuchsiadrum/request/admission.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::request {
namespace {

/// Below this many finished requests in the window the rate says nothing.
constexpr double kMinFinished = 3.0;

constexpr size_t kDrawCheckLevel = 0;

/// Microseconds in a second.
constexpr int64_t kMicros = 1'000'000;

size_t LevelOf(pb::WorkClass work_class) {
  if (work_class < pb::DRAW_CHECK || work_class > pb::LETTER) {
    return pb::LETTER - pb::DRAW_CHECK;
  }
  return static_cast<size_t>(work_class) - pb::DRAW_CHECK;
}

}  // namespace

Admission::OrganisationId Admission::IdOf(const std::string& organisation) {
  const auto next = static_cast<OrganisationId>(this->organisations.size());
  const auto [it, inserted] = this->ids.emplace(organisation, next);
  if (inserted) this->organisations.emplace_back();
  return it->second;
}

void Admission::SetLimits(const std::string& organisation,
                          OrganisationLimits limits) {
  const OrganisationId id = this->IdOf(organisation);
  Organisation& state = this->organisations[id];
  state.limits = limits;
  state.allowance = static_cast<int64_t>(limits.max_tokens_per_second);
  this->Unblock(id);
}

void Admission::Refill(TimePoint now, Organisation& organisation) const {
  const auto rate =
      static_cast<int64_t>(organisation.limits.max_tokens_per_second);
  if (rate == 0) return;
  // A clock that jumps back must not take allowance away.
  const Duration gone = std::clamp<Duration>(
      now - organisation.refilled, Duration::zero(), std::chrono::seconds(60));
  if (gone == Duration::zero()) {
    organisation.refilled = std::min(organisation.refilled, now);
    return;
  }

  // Time that does not make a whole token yet is kept for the next call.
  const int64_t earned = gone.count() * rate / kMicros;
  organisation.refilled =
      now - (gone - Duration((earned * kMicros + rate - 1) / rate));
  organisation.allowance = std::min(rate, organisation.allowance + earned);
}

bool Admission::MayStart(TimePoint now, OrganisationId id) {
  Organisation& organisation = this->organisations[id];
  const OrganisationLimits& limits = organisation.limits;
  if (limits.max_concurrent > 0 &&
      organisation.running >= limits.max_concurrent) {
    return false;
  }
  if (limits.max_tokens_per_second == 0) return true;

  this->Refill(now, organisation);
  return organisation.allowance > 0;
}

AdmissionVerdict Admission::Offer(TimePoint now, const WorkItem& work) {
  FD_ASSERT(!this->items.contains(work.handle),
            "request: a handle is offered once");
  const size_t level = LevelOf(work.work_class);
  const OrganisationId id = this->IdOf(work.organisation);
  Item item{.work = work,
            .organisation = id,
            .level = level,
            .order = this->next_order++,
            .since = now};

  if (level == kDrawCheckLevel) {
    this->Start(now, this->items.emplace(work.handle, item).first->second);
    return {AdmissionAnswer::kStart};
  }
  if (work.deadline <= now) {
    return {AdmissionAnswer::kShed, this->RetryAfter(now, level),
            "deadline has passed"};
  }
  if (this->queued == 0 && this->free > 0 && this->MayStart(now, id)) {
    --this->free;
    this->Start(now, this->items.emplace(work.handle, item).first->second);
    return {AdmissionAnswer::kStart};
  }

  if (now + this->ExpectedWait(now, level) > work.deadline) {
    return {AdmissionAnswer::kShed, this->RetryAfter(now, level),
            "expected wait exceeds the deadline"};
  }
  if (this->queued >= this->options.max_queued) {
    Item* victim = this->Victim(level, id);
    if (victim == nullptr) {
      return {AdmissionAnswer::kShed, this->RetryAfter(now, level),
              "queue is full"};
    }
    this->Shed(now, *victim, "queue is full");
  }

  this->Enqueue(this->items.emplace(work.handle, item).first->second);
  FD_ASSERT(this->queued <= this->options.max_queued,
            "request: the admission queue is bounded");
  return {AdmissionAnswer::kQueued};
}

void Admission::Start(TimePoint now, Item& item) {
  Organisation& organisation = this->organisations[item.organisation];
  Lane& lane = organisation.lanes[item.level];
  item.running = true;
  item.since = now;
  ++organisation.running;
  organisation.allowance -= item.work.tokens.count;

  lane.outstanding += std::max<int64_t>(1, item.work.tokens.count);
  lane.last_start = this->next_order++;
  this->Rerank(item.organisation, item.level);
}

void Admission::Enqueue(Item& item) {
  ++this->queued;
  Lane& lane = this->organisations[item.organisation].lanes[item.level];
  lane.waiting.emplace(item.order, item.work.handle);
  this->levels[item.level].by_age.emplace(item.order, item.work.handle);
  this->deadlines.emplace(item.work.deadline, item.work.handle);
  this->Rerank(item.organisation, item.level);
}

void Admission::RemoveWaiting(const Item& item) {
  FD_ASSERT(!item.running, "request: only a waiting request leaves the queue");
  --this->queued;
  Lane& lane = this->organisations[item.organisation].lanes[item.level];
  lane.waiting.erase(item.order);
  this->levels[item.level].by_age.erase(item.order);
  this->deadlines.erase({item.work.deadline, item.work.handle});
  this->Rerank(item.organisation, item.level);
}

void Admission::Rerank(OrganisationId id, size_t level) {
  Organisation& organisation = this->organisations[id];
  Lane& lane = organisation.lanes[level];
  std::set<Rank>& ranks = this->levels[level].ranks;

  if (lane.rank) ranks.erase(*lane.rank);
  lane.rank.reset();
  if (lane.waiting.empty() || organisation.blocked) return;

  lane.rank = Rank(lane.outstanding, lane.last_start, id);
  ranks.insert(*lane.rank);
}

void Admission::Block(TimePoint now, OrganisationId id) {
  Organisation& organisation = this->organisations[id];
  organisation.blocked = true;
  for (size_t level = 0; level < kClasses; ++level) this->Rerank(id, level);

  // A used-up rate comes back by itself; a used-up concurrency comes back
  // with the next finished request.
  const auto rate =
      static_cast<double>(organisation.limits.max_tokens_per_second);
  if (rate <= 0 || organisation.allowance > 0) return;
  const auto owed = static_cast<double>(1 - organisation.allowance);
  const Duration wait(std::llround(owed / rate * 1e6) + 1);
  this->rate_blocked.emplace(now + wait, id);
}

void Admission::Unblock(OrganisationId id) {
  this->organisations[id].blocked = false;
  for (size_t level = 0; level < kClasses; ++level) this->Rerank(id, level);
}

void Admission::UnblockDue(TimePoint now) {
  while (!this->rate_blocked.empty() &&
         this->rate_blocked.begin()->first <= now) {
    const OrganisationId id = this->rate_blocked.begin()->second;
    this->rate_blocked.erase(this->rate_blocked.begin());
    this->Unblock(id);
  }
}

void Admission::OnFinished(TimePoint now, uint64_t handle, Tokens used) {
  const auto found = this->items.find(handle);
  if (found == this->items.end() || !found->second.running) return;
  const Item item = found->second;
  this->items.erase(found);

  Organisation& organisation = this->organisations[item.organisation];
  --organisation.running;
  organisation.allowance += item.work.tokens.count - used.count;
  Lane& lane = organisation.lanes[item.level];
  lane.outstanding -= std::max<int64_t>(1, item.work.tokens.count);
  FD_ASSERT(lane.outstanding >= 0, "request: outstanding work is not negative");

  if (organisation.blocked) {
    this->Unblock(item.organisation);
  } else {
    this->Rerank(item.organisation, item.level);
  }
  this->CountFinish(now);
}

std::vector<uint64_t> Admission::TakeStarts(TimePoint now, int free_capacity) {
  this->free = std::max(0, free_capacity);
  this->UnblockDue(now);

  std::vector<uint64_t> starts;
  while (this->free > 0) {
    Item* next = this->Next(now);
    if (next == nullptr) break;
    this->RemoveWaiting(*next);
    this->Start(now, *next);
    --this->free;
    starts.push_back(next->work.handle);
  }
  return starts;
}

Admission::Item* Admission::Next(TimePoint now) {
  // Order of the classes: priority less one for each ageing step that the
  // oldest request of the class has waited.
  constexpr int64_t kNothing = std::numeric_limits<int64_t>::max();
  std::array<std::pair<int64_t, size_t>, kClasses> order;
  order.fill({kNothing, 0});
  for (size_t level = 0; level < kClasses; ++level) {
    const Level& state = this->levels[level];
    if (state.by_age.empty()) continue;
    const Item& oldest = this->items.at(state.by_age.begin()->second);
    const int64_t lifted = (now - oldest.since) / this->options.ageing_step;
    order[level] = {static_cast<int64_t>(level) - lifted, level};
  }

  std::sort(order.begin(), order.end());
  for (const auto& [rank, level] : order) {
    if (rank == kNothing) break;
    Item* next = this->NextOf(now, level);
    if (next != nullptr) return next;
  }
  return nullptr;
}

Admission::Item* Admission::NextOf(TimePoint now, size_t level) {
  Level& state = this->levels[level];
  while (!state.ranks.empty()) {
    const OrganisationId id = std::get<2>(*state.ranks.begin());
    if (this->MayStart(now, id)) {
      const Lane& lane = this->organisations[id].lanes[level];
      return &this->items.at(lane.waiting.begin()->second);
    }
    this->Block(now, id);
  }
  return nullptr;
}

Admission::Item* Admission::Victim(size_t level, OrganisationId incoming) {
  size_t lowest = kClasses;
  while (lowest > 0 && this->levels[lowest - 1].by_age.empty()) --lowest;
  if (lowest == 0 || lowest - 1 < level) return nullptr;
  --lowest;

  // Within the lowest class the organisation that waits with most gives up
  // its newest request.
  const Level& state = this->levels[lowest];
  OrganisationId busiest = 0;
  size_t most = 0;
  for (OrganisationId id = 0; id < this->organisations.size(); ++id) {
    const size_t waiting = this->organisations[id].lanes[lowest].waiting.size();
    if (waiting > most) {
      most = waiting;
      busiest = id;
    }
  }
  FD_ASSERT(most > 0 && !state.by_age.empty(),
            "request: a class with waiting requests has an organisation");
  const Lane& lane = this->organisations[busiest].lanes[lowest];
  const Lane& own = this->organisations[incoming].lanes[lowest];
  if (lowest == level && own.waiting.size() + 1 >= lane.waiting.size()) {
    return nullptr;
  }
  return &this->items.at(lane.waiting.rbegin()->second);
}

void Admission::Shed(TimePoint now, Item& victim, std::string_view reason) {
  const uint64_t handle = victim.work.handle;
  const Duration retry_after = this->RetryAfter(now, victim.level);
  this->RemoveWaiting(victim);
  this->items.erase(handle);
  this->shed.push_back({handle, retry_after, reason});
}

std::vector<ShedItem> Admission::TakeShed(TimePoint now) {
  while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
    const uint64_t handle = this->deadlines.begin()->second;
    this->Shed(now, this->items.at(handle), "deadline has passed");
  }
  return std::exchange(this->shed, {});
}

bool Admission::Abandon(uint64_t handle) {
  const auto found = this->items.find(handle);
  if (found == this->items.end() || found->second.running) return false;
  this->RemoveWaiting(found->second);
  this->items.erase(found);
  return true;
}

void Admission::CountFinish(TimePoint now) {
  const double gone = std::max(0.0, ToSeconds(now - this->finished_at));
  this->finished *= std::exp(-gone / ToSeconds(this->options.rate_window));
  this->finished += 1.0;
  this->finished_at = now;
}

double Admission::FinishRate(TimePoint now) const {
  const double window = ToSeconds(this->options.rate_window);
  const double gone = std::max(0.0, ToSeconds(now - this->finished_at));
  const double recent = this->finished * std::exp(-gone / window);
  return recent < kMinFinished ? 0.0 : recent / window;
}

Duration Admission::ExpectedWait(TimePoint now, size_t level) const {
  const double rate = this->FinishRate(now);
  if (rate <= 0.0) return Duration::zero();

  size_t ahead = 0;
  for (size_t above = 0; above <= level; ++above) {
    ahead += this->levels[above].by_age.size();
  }
  return Duration(std::llround(static_cast<double>(ahead) / rate * 1e6));
}

Duration Admission::RetryAfter(TimePoint now, size_t level) const {
  return std::clamp(this->ExpectedWait(now, level),
                    this->options.min_retry_after,
                    this->options.max_retry_after);
}

}  // namespace fuchsiadrum::request
