#include "bench/requests_upstream.h"

#include <algorithm>
#include <utility>

namespace fuchsiadrum::bench::requests {
namespace {

constexpr int64_t kFirstTokenUs = 30'000;
constexpr int64_t kTokenUs = 8'000;
constexpr int64_t kSlowFactor = 10;

/// Probability that a chunk is sent twice or again later.
constexpr double kDoubled = 0.05;

/// Probability that a chunk of another request follows on the connection.
constexpr double kStray = 0.01;

}  // namespace

void FakeUpstream::Receive(const Dispatch& dispatch, const Post& post) {
  const uint32_t attempt = dispatch.attempt;
  if (this->mode == UpstreamMode::kDead ||
      this->mode == UpstreamMode::kRejects) {
    const auto kind = this->mode == UpstreamMode::kDead
                          ? node::AttemptEventKind::kNotSent
                          : node::AttemptEventKind::kRejected;
    post([id = dispatch.request_id, attempt, kind](AttemptListener& to) {
      to.OnEvent(id, attempt, kind);
    });
    return;
  }

  this->record.OnRun(dispatch.call, dispatch.request_id);
  if (this->mode == UpstreamMode::kSilent) return;
  Duration start(kFirstTokenUs + this->rng.Between(0, kFirstTokenUs));
  // Past the daemon's first-byte limit, while a retry may be running.
  if (this->mode == UpstreamMode::kLate) {
    start += Duration(this->rng.Between(900'000, 1'400'000));
  }
  this->Stream(dispatch, post, start);
}

void FakeUpstream::Stream(const Dispatch& dispatch, const Post& post,
                          Duration start) {
  const int64_t factor = this->mode == UpstreamMode::kSlow ? kSlowFactor : 1;
  const CallSpec& call = dispatch.call;
  const int cut_at = this->mode == UpstreamMode::kCrashes
                         ? static_cast<int>(this->rng.Below(call.length))
                         : call.length;
  Duration at = start * factor;
  const request::AnswerChunk other_request = this->stray;

  for (int i = dispatch.from_token; i < cut_at; ++i) {
    request::AnswerChunk chunk{.request_id = dispatch.request_id,
                               .attempt = dispatch.attempt,
                               .first_token = static_cast<uint64_t>(i),
                               .tokens = {TokenOf(call, dispatch.content, i)},
                               .end = i + 1 == call.length};
    const int copies = this->rng.Chance(kDoubled) ? 2 : 1;
    Duration extra = Duration::zero();
    for (int copy = 0; copy < copies; ++copy) {
      SendChunk(dispatch, post, at + extra, chunk);
      extra = Duration(this->rng.Between(0, 20 * kTokenUs));
    }
    if (this->rng.Chance(kStray) && !other_request.tokens.empty()) {
      request::AnswerChunk other = other_request;
      other.first_token = static_cast<uint64_t>(i) + 1;
      SendChunk(dispatch, post, at, other);
    }
    this->stray = chunk;
    at += Duration(kTokenUs * factor);
  }

  if (cut_at == call.length) return;
  const uint32_t attempt = dispatch.attempt;
  const std::string id = dispatch.request_id;
  this->queue.After(at, [post, id, attempt] {
    post([id, attempt](AttemptListener& to) {
      to.OnEvent(id, attempt, node::AttemptEventKind::kBroken);
    });
  });
}

void FakeUpstream::SendChunk(const Dispatch& dispatch, const Post& post,
                             Duration at, const request::AnswerChunk& chunk) {
  const std::string id = dispatch.request_id;
  this->queue.After(at, [post, id, chunk] {
    post([id, chunk](AttemptListener& to) { to.OnChunk(id, chunk); });
  });
}

}  // namespace fuchsiadrum::bench::requests
