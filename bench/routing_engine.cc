#include "bench/routing_engine.h"

#include <algorithm>
#include <utility>

namespace fuchsiadrum::bench {
namespace {

constexpr size_t kKeptEvents = 20000;
constexpr size_t kKeptReports = 64;

}  // namespace

FakeEngine::FakeEngine(EventQueue& queue, EngineListener& listener,
                       EngineOptions options)
    : queue(queue), listener(listener), options(options) {}

bool FakeEngine::Submit(EngineJob job) {
  if (!this->up) return false;
  this->waiting.push_back(std::move(job));
  if (!this->stepping) this->StartStep();
  return true;
}

void FakeEngine::Crash() {
  this->up = false;
  ++this->incarnation;
  this->stepping = false;
  std::vector<uint64_t> broken;
  for (const Sequence& sequence : this->active) {
    broken.push_back(sequence.job.id);
  }
  for (const EngineJob& job : this->waiting) broken.push_back(job.id);
  this->active.clear();
  this->waiting.clear();
  this->lru.clear();
  this->cache.clear();

  // A new process numbers its cache events from a place of its own.
  this->first_event += this->events.size() + 1000;
  this->events.clear();
  for (const uint64_t id : broken) this->listener.OnEngineBroken(id);
}

Duration FakeEngine::PredictFirstToken(const EngineJob& job) const {
  // Remaining outputs of the decoding sequences, soonest end last.
  std::vector<int> decoding;
  std::deque<std::pair<int, int>> prefilling;  // prompt left, output
  for (const Sequence& sequence : this->active) {
    const int left = sequence.prefill_left - sequence.taken;
    if (left <= 0) {
      decoding.push_back(sequence.output_left);
    } else {
      prefilling.emplace_back(left, sequence.output_left);
    }
  }
  const auto uncached = [this](const EngineJob& one) {
    const int cached = this->CachedBlocks(one) * this->options.block_tokens;
    return std::max(1, one.prompt_tokens - cached);
  };
  std::deque<std::pair<int, int>> queue_left;
  for (const EngineJob& one : this->waiting) {
    queue_left.emplace_back(uncached(one), one.output_tokens);
  }
  queue_left.emplace_back(uncached(job), 0);

  double us = this->stepping ? static_cast<double>(std::max<int64_t>(
                                   0, (this->step_end - queue.Now()).count()))
                             : 0.0;
  while (true) {
    while (!queue_left.empty() &&
           decoding.size() + prefilling.size() < this->options.slots) {
      prefilling.push_back(queue_left.front());
      queue_left.pop_front();
    }
    int budget = this->options.prefill_chunk;
    const int decodes = static_cast<int>(decoding.size());
    std::vector<int> started;
    while (budget > 0 && !prefilling.empty()) {
      const int take = std::min(budget, prefilling.front().first);
      budget -= take;
      prefilling.front().first -= take;
      if (prefilling.front().first > 0) break;
      started.push_back(prefilling.front().second);
      prefilling.pop_front();
    }
    us += this->StepUs(decodes, this->options.prefill_chunk - budget);
    if (queue_left.empty() && prefilling.empty()) break;
    for (int& left : decoding) --left;
    std::erase_if(decoding, [](int left) { return left <= 0; });
    decoding.insert(decoding.end(), started.begin(), started.end());
  }
  return Duration(static_cast<int64_t>(us));
}

void FakeEngine::Snapshot(const std::vector<std::string>& models,
                          bool leaving) {
  this->reports.push_back({.at = this->queue.Now(),
                           .running = static_cast<int>(this->active.size()),
                           .queued = static_cast<int>(this->waiting.size()),
                           .cache_end = this->first_event + this->events.size(),
                           .models = models,
                           .leaving = leaving});
  if (this->reports.size() > kKeptReports) this->reports.pop_front();
}

const EngineReport* FakeEngine::ReportAt(TimePoint at) const {
  for (auto report = this->reports.rbegin(); report != this->reports.rend();
       ++report) {
    if (report->at <= at) return &*report;
  }
  return nullptr;
}

std::vector<CacheEvent> FakeEngine::Events(uint64_t& from, uint64_t to) const {
  from = std::max(from, this->first_event);
  const uint64_t end = std::min(to, this->first_event + this->events.size());
  std::vector<CacheEvent> out;
  for (uint64_t i = from; i < end; ++i) {
    out.push_back(this->events[i - this->first_event]);
  }
  return out;
}

double FakeEngine::BusyShare() const {
  const double all = static_cast<double>(this->queue.Now().us) *
                     static_cast<double>(this->options.slots);
  return all > 0 ? this->busy_us / all : 0;
}

void FakeEngine::StartStep() {
  this->Admit();
  this->stepping = !this->active.empty();
  if (!this->stepping) return;

  int decodes = 0;
  int budget = this->options.prefill_chunk;
  for (Sequence& sequence : this->active) {
    sequence.taken = std::min(budget, sequence.prefill_left);
    budget -= sequence.taken;
    if (sequence.prefill_left == 0) ++decodes;
  }
  const double us = this->StepUs(decodes, this->options.prefill_chunk - budget);
  this->busy_us += us * static_cast<double>(this->active.size());
  this->step_end = this->queue.Now() + Duration(static_cast<int64_t>(us));
  const uint64_t present = this->incarnation;
  this->queue.At(this->step_end, [this, present] { this->EndStep(present); });
}

void FakeEngine::EndStep(uint64_t present) {
  if (present != this->incarnation) return;
  std::vector<std::pair<uint64_t, int>> first;
  std::vector<uint64_t> done;

  for (Sequence& sequence : this->active) {
    if (sequence.prefill_left > 0) {
      sequence.prefill_left -= sequence.taken;
      sequence.taken = 0;
      if (sequence.prefill_left > 0) continue;
      this->Store(sequence.job);
      first.emplace_back(sequence.job.id, sequence.cached);
    }
    if (--sequence.output_left <= 0) done.push_back(sequence.job.id);
  }
  std::erase_if(this->active, [](const Sequence& sequence) {
    return sequence.prefill_left == 0 && sequence.output_left <= 0;
  });

  this->StartStep();
  for (const auto& [id, cached] : first) {
    this->listener.OnEngineFirstToken(id, cached);
  }
  for (const uint64_t id : done) this->listener.OnEngineDone(id);
}

void FakeEngine::Admit() {
  while (!this->waiting.empty() && this->active.size() < this->options.slots) {
    EngineJob job = std::move(this->waiting.front());
    this->waiting.pop_front();
    const int blocks = this->CachedBlocks(job);
    for (int i = blocks; i > 0; --i) {
      this->Touch((*job.blocks)[static_cast<size_t>(i) - 1]);
    }
    const int cached =
        std::min(blocks * this->options.block_tokens, job.prompt_tokens - 1);
    const int output = job.output_tokens;
    this->active.push_back({.job = std::move(job),
                            .prefill_left = 0,
                            .output_left = output,
                            .cached = cached});
    this->active.back().prefill_left =
        this->active.back().job.prompt_tokens - cached;
  }
}

double FakeEngine::StepUs(int decodes, int prefill) const {
  return (this->options.step_base_us +
          this->options.step_us_per_sequence * decodes +
          this->options.us_per_prompt_token * prefill) /
         this->options.speed;
}

int FakeEngine::CachedBlocks(const EngineJob& job) const {
  int blocks = 0;
  for (const uint64_t hash : *job.blocks) {
    if (!this->cache.contains(hash)) break;
    ++blocks;
  }
  return blocks;
}

void FakeEngine::Store(const EngineJob& job) {
  // From the end, so that the beginning of a chain is evicted last.
  for (auto hash = job.blocks->rbegin(); hash != job.blocks->rend(); ++hash) {
    this->Touch(*hash);
  }
  while (this->lru.size() > this->options.cache_blocks) {
    this->AddEvent(this->lru.back(), false);
    this->cache.erase(this->lru.back());
    this->lru.pop_back();
  }
}

void FakeEngine::Touch(uint64_t hash) {
  const auto found = this->cache.find(hash);
  if (found != this->cache.end()) {
    this->lru.splice(this->lru.begin(), this->lru, found->second);
    return;
  }
  this->lru.push_front(hash);
  this->cache.emplace(hash, this->lru.begin());
  this->AddEvent(hash, true);
}

void FakeEngine::AddEvent(uint64_t hash, bool stored) {
  this->events.push_back({hash, stored});
  if (this->events.size() > kKeptEvents) {
    this->events.pop_front();
    ++this->first_event;
  }
}

}  // namespace fuchsiadrum::bench
