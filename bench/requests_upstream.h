#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "bench/fakes/event_queue.h"
#include "bench/requests_record.h"
#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/node/request_events.h"
#include "fuchsiadrum/request/attempt_filter.h"

namespace fuchsiadrum::bench::requests {

/// How an upstream treats requests at present.
enum class UpstreamMode {
  kGood,
  kDead,     // connections are refused
  kRejects,  // answers 503 before running
  kCrashes,  // runs, then breaks the stream
  kSilent,   // runs and sends nothing
  kSlow,     // ten times slower
  kLate,     // runs; the answer comes after the daemon gave up
};

/// One attempt that a daemon sends to an upstream.
struct Dispatch {
  CallSpec call;
  std::string request_id;
  uint32_t attempt = 0;
  /// Names the run whose tokens follow; a resumed attempt keeps it.
  std::string content;
  /// First token wanted; above 0 the engine resumes.
  int from_token = 0;
};

/// What comes back on the connection of one attempt. `connection` is the
/// request that the connection was opened for; a chunk may be another's.
class AttemptListener {
 public:
  virtual ~AttemptListener() = default;
  virtual void OnChunk(const std::string& connection,
                       const request::AnswerChunk& chunk) = 0;
  virtual void OnEvent(const std::string& connection, uint32_t attempt,
                       node::AttemptEventKind kind) = 0;
};

/// A fake model engine or service. It records in RunRecord what it ran.
class FakeUpstream {
 public:
  /// Runs an action on the daemon that holds the connection, or never.
  using Post =
      std::function<void(const std::function<void(AttemptListener&)>&)>;

  FakeUpstream(std::string name, EventQueue& queue, RunRecord& record, Rng rng)
      : name(std::move(name)), queue(queue), record(record), rng(rng) {}

  /// A request arrives.
  void Receive(const Dispatch& dispatch, const Post& post);

  void SetMode(UpstreamMode next) { this->mode = next; }
  UpstreamMode Mode() const { return this->mode; }
  const std::string& Name() const { return this->name; }

  int64_t first_attempts = 0;
  int64_t retries = 0;

 private:
  void Stream(const Dispatch& dispatch, const Post& post, Duration start);
  void SendChunk(const Dispatch& dispatch, const Post& post, Duration at,
                 const request::AnswerChunk& chunk);

  std::string name;
  EventQueue& queue;
  RunRecord& record;
  Rng rng;
  UpstreamMode mode = UpstreamMode::kGood;
  /// The last chunk sent, which may appear on another connection.
  request::AnswerChunk stray;
};

}  // namespace fuchsiadrum::bench::requests
