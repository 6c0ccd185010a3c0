#include "soak/caller.h"

#include <algorithm>
#include <boost/beast/http.hpp>
#include <chrono>
#include <thread>
#include <utility>

#include "gateway/clock.h"
#include "soak/wire.h"

namespace fuchsiadrum::soak {
namespace {

namespace http = boost::beast::http;

/// Time after which a caller gives a request up, from its first byte.
constexpr Duration kPatience = std::chrono::milliseconds(6000);
constexpr Duration kLongPatience = std::chrono::milliseconds(12000);
constexpr double kLeaveChance = 0.08;
constexpr size_t kBodyParts = 8;

void Sleep(int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::string FieldOf(const auto& head, std::string_view name) {
  return std::string(head[boost::beast::string_view(name.data(), name.size())]);
}

}  // namespace

void Caller::Run(const std::atomic<bool>& stopping) {
  while (!stopping) {
    if (!this->socket.IsOpen() &&
        !this->Open(this->rng.Below(this->options.ports.size()))) {
      Sleep(20);
      continue;
    }
    const Plan plan = this->DrawPlan();
    this->TakeUp(plan, this->Ask(plan), stopping);
    if (this->rng.Chance(kLeaveChance)) this->socket.Close();
    constexpr int64_t kMaxPauseMs = 30;
    Sleep(this->rng.Between(0, kMaxPauseMs));
  }
  this->socket.Close();
}

void Caller::TakeUp(Plan plan, const CallerResult& first,
                    const std::atomic<bool>& stopping) {
  const RouteTraits& traits = TraitsOf(plan.route);
  if (!traits.is_resumable || first.gave_up || first.is_whole) return;
  const Duration limit = traits.is_long
                             ? kLongPatience
                             : std::chrono::milliseconds(kCallerTimeoutMs);
  plan.last_event = LastEvent(first.body);
  if (first.status != 200 || plan.last_event == 0) return;
  plan.stream = this->LastId();
  bool is_done = false;
  while (!is_done && !stopping && gateway::Now() < first.begun + limit) {
    // At another gateway, if there is one.
    const size_t count = this->options.ports.size();
    const size_t step = 1 + this->rng.Below(std::max<size_t>(count, 2) - 1);
    this->socket.Close();
    if (!this->Open((this->gateway_index + step) % count)) {
      Sleep(20);
      continue;
    }
    ++plan.take_up;
    const CallerResult result = this->Ask(plan);
    is_done = result.is_whole && result.status == 200;
    plan.last_event = std::max(plan.last_event, LastEvent(result.body));
    constexpr int64_t kRetryMs = 100;
    if (!is_done) Sleep(kRetryMs);
  }
}

CallerResult Caller::Probe(SoakRoute route, size_t gateway) {
  constexpr size_t kProbeBytes = 100;
  CallerResult result;
  if (this->Open(gateway)) {
    result = this->Ask({.route = route, .body_bytes = kProbeBytes});
  }
  this->socket.Close();
  return result;
}

std::string Caller::LastId() const {
  return this->options.name + "-" + std::to_string(this->sent_count);
}

bool Caller::Open(size_t gateway) {
  this->gateway_index = gateway;
  this->number = 0;
  return this->socket.Connect(this->options.ports[gateway]);
}

Caller::Plan Caller::DrawPlan() {
  constexpr uint64_t kSmallBytes = 2000;
  constexpr uint64_t kLargeBytes = 600000;
  /// More than the buffers of a connection take.
  constexpr uint64_t kHugeBytes = 3900000;
  Plan plan;
  if (this->options.asks_long) {
    plan.route = this->rng.Chance(0.5) ? SoakRoute::kLong : SoakRoute::kLasting;
    return plan;
  }
  // Requests that may run once only are drawn most often.
  const uint64_t drawn = this->rng.Below(10);
  plan.route = drawn < 4   ? SoakRoute::kOnce
               : drawn < 7 ? SoakRoute::kUnsafe
               : drawn < 9 ? SoakRoute::kResumable
                           : SoakRoute::kSafe;
  if (this->rng.Chance(0.2)) {
    plan.route = SoakRoute::kAdded;
    plan.added = this->seen.NewestVersion();
    if (this->rng.Chance(0.5)) {
      plan.added = static_cast<int>(this->rng.Between(1, plan.added));
    }
  }
  plan.body_bytes =
      this->rng.Below(this->rng.Chance(0.1) ? kLargeBytes : kSmallBytes);
  if (this->rng.Chance(0.04)) plan.body_bytes = kHugeBytes;
  plan.in_chunks = this->rng.Chance(0.4);
  constexpr int64_t kUsualPauseMs = 3;
  constexpr int64_t kLongPauseMs = 250;
  if (this->rng.Chance(0.15)) plan.pause_ms = kUsualPauseMs;
  if (this->rng.Chance(0.06)) {
    plan.pause_ms = this->rng.Between(kUsualPauseMs, kLongPauseMs);
  }
  return plan;
}

CallerResult Caller::Ask(const Plan& plan) {
  if (plan.take_up == 0) ++this->sent_count;
  const std::string id =
      plan.take_up > 0 ? TakeUpId(plan.stream, plan.take_up) : this->LastId();
  CallerResult result;
  result.route = plan.route;
  result.added = plan.added;
  result.last_event = plan.last_event;
  result.gateway = this->gateway_index;
  result.number = ++this->number;
  result.begun = gateway::Now();
  this->seen.AddLine(
      id, "caller: " + std::string(TraitsOf(plan.route).name) + " to gateway " +
              std::to_string(this->gateway_index) + ", request " +
              std::to_string(this->number) + " of its connection, body of " +
              std::to_string(plan.body_bytes) +
              (plan.in_chunks ? " bytes in chunks" : " bytes") +
              ", pauses of " + std::to_string(plan.pause_ms) + " ms");
  const bool is_long = TraitsOf(plan.route).is_long;
  const TimePoint deadline =
      result.begun + (is_long ? kLongPatience : kPatience);
  if (this->Send(plan, id, deadline)) result.sent = gateway::Now();
  // An answer may have come although not all was sent.
  this->Receive(deadline, result);
  result.ended = gateway::Now();
  this->seen.AddResult(id, result);
  return result;
}

bool Caller::Send(const Plan& plan, const std::string& id, TimePoint deadline) {
  std::string bytes = EncodeRequestHead(plan.route, id, plan.added);
  if (plan.take_up > 0) bytes += EncodeTakeUp(plan.stream, plan.last_event);
  const std::string body = RequestBody(id, plan.body_bytes);
  bytes += plan.in_chunks
               ? "Transfer-Encoding: chunked\r\n\r\n"
               : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  const size_t part_bytes = body.size() / kBodyParts + 1;
  for (size_t at = 0; at < body.size(); at += part_bytes) {
    const std::string_view part = std::string_view(body).substr(at, part_bytes);
    bytes += plan.in_chunks ? EncodeChunk(part) : std::string(part);
    if (plan.pause_ms == 0) continue;
    if (!this->socket.Write(bytes, deadline)) return false;
    bytes.clear();
    Sleep(plan.pause_ms);
  }
  if (plan.in_chunks) bytes += EncodeChunk("");
  return this->socket.Write(bytes, deadline);
}

void Caller::Receive(TimePoint deadline, CallerResult& result) {
  http::response_parser<http::string_body> parser;
  parser.body_limit(1U << 24U);
  parser.eager(true);
  std::string bytes;
  boost::system::error_code error;
  ReadStatus status = ReadStatus::kBytes;
  while (!parser.is_done() && status == ReadStatus::kBytes) {
    status = this->socket.Read(bytes, deadline);
    if (status == ReadStatus::kEnd) {
      // A write that failed has taken the reset that this end stands for.
      if (result.sent == TimePoint() || !parser.got_some()) break;
      parser.put_eof(error);
    }
    while (!bytes.empty() && !parser.is_done()) {
      const size_t used =
          parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
      bytes.erase(0, used);
      if (error == http::error::need_more) error = {};
      if (error || used == 0) break;
    }
    if (error) break;
  }
  result.gave_up = status == ReadStatus::kTimedOut;
  result.has_extra = parser.is_done() && !bytes.empty();
  result.is_whole = parser.is_done() && !error;
  if (parser.is_header_done()) {
    const auto& answer = parser.get();
    result.status = answer.result_int();
    result.ends_with_connection = answer.need_eof();
    result.body = answer.body();
    result.named_id = FieldOf(answer, kFieldId);
    result.signature = FieldOf(answer, kFieldSignature);
  }
  if (!result.is_whole || !parser.keep_alive() || result.sent == TimePoint()) {
    this->socket.Close();
  }
}

}  // namespace fuchsiadrum::soak
