#include "bench/catalogue_platform.h"

namespace fuchsiadrum::bench {
namespace {

constexpr size_t kMaxRead = 256;

}  // namespace

void CataloguePlatform::Read(
    const std::string& zone, uint64_t from,
    const std::function<void(const LogRead&)>& answer) {
  this->network.Send(zone, kPlatformZone, [this, zone, from, answer] {
    if (this->down) return;
    LogRead read{.from = from,
                 .first_retained = this->log.FirstRetained(),
                 .end = this->log.End(),
                 .batches = {}};
    while (read.batches.size() < kMaxRead) {
      auto batch = this->log.Read(from + read.batches.size());
      if (!batch) break;
      read.batches.push_back(*std::move(batch));
    }
    this->network.Send(kPlatformZone, zone,
                       [answer, read = std::move(read)] { answer(read); });
  });
}

void CataloguePlatform::Append(const std::string& zone,
                               const std::string& batch,
                               const std::function<void()>& answer) {
  this->network.Send(zone, kPlatformZone, [this, zone, batch, answer] {
    if (this->down) return;
    this->AppendDirect(batch);
    if (this->rng.Chance(this->lost_answers)) return;
    this->network.Send(kPlatformZone, zone, answer);
  });
}

uint64_t CataloguePlatform::AppendDirect(const std::string& batch) {
  this->all.push_back(batch);
  this->times.push_back(this->queue.Now());
  return this->log.Append(batch);
}

void CataloguePlatform::Trim() {
  if (this->down) return;
  uint64_t first = this->log.FirstRetained();
  while (first < this->log.End() &&
         this->queue.Now() - this->times[first] > this->retention) {
    ++first;
  }
  this->log.TrimBefore(first);
}

}  // namespace fuchsiadrum::bench
