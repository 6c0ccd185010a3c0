#include "bench/fleet/fake_upstream.h"

#include <utility>

namespace fuchsiadrum::bench {
namespace {

constexpr Duration kFirstToken = std::chrono::milliseconds(40);

}  // namespace

void FakeUpstream::Start(const std::string& request_id, uint32_t attempt,
                         Tokens prompt, Tokens output, const Tell& tell) {
  const size_t run = this->runs.size();
  this->runs.push_back(
      {.request_id = request_id, .attempt = attempt, .used = prompt + output});
  ++this->in_progress;
  this->listeners.push_back(tell);
  const uint64_t started_in = this->life;

  this->queue.After(
      Duration(static_cast<int64_t>(static_cast<double>(kFirstToken.count()) *
                                    this->slowness)),
      [this, started_in, tell] {
        if (this->life == started_in && !this->silent) {
          tell(UpstreamSignal::kFirstToken, Tokens(0));
        }
      });

  const double seconds = static_cast<double>(output.count + 1) /
                         this->tokens_per_second * this->slowness;
  this->queue.After(kFirstToken + Duration(static_cast<int64_t>(seconds * 1e6)),
                    [this, started_in, run, tell] {
                      if (this->life != started_in) return;
                      --this->in_progress;
                      this->runs[run].finished = true;
                      if (this->silent) return;
                      const Tokens told =
                          this->runs[run].used + this->extra_usage;
                      tell(UpstreamSignal::kCompleted, told);
                      if (this->doubled) tell(UpstreamSignal::kCompleted, told);
                    });
}

void FakeUpstream::Die() {
  ++this->life;
  this->alive = false;
  this->in_progress = 0;
  for (const Tell& tell : std::exchange(this->listeners, {})) {
    tell(UpstreamSignal::kBroken, Tokens(0));
  }
}

}  // namespace fuchsiadrum::bench
