#include "soak/faulty_upstream.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <thread>

#include "fuchsiadrum/core/hash.h"
#include "gateway/clock.h"
#include "soak/wire.h"

namespace fuchsiadrum::soak {
namespace {

constexpr std::array<std::string_view, 4> kRefusals = {"503 Full", "429 Slow",
                                                       "421 Other", "400 Odd"};

template <size_t size>
std::string_view Pick(const std::array<std::string_view, size>& items,
                      Rng& rng) {
  return items[rng.Below(size)];
}

void Work(int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::string Field(const gateway::ScriptedExchange& exchange,
                  std::string_view name) {
  return std::string(
      exchange.Request()[boost::beast::string_view(name.data(), name.size())]);
}

/// The head of an answer, and its body up to some byte. The rest of a stream
/// may be empty.
std::string CutInBody(const std::string& answer, size_t head, Rng& rng) {
  const size_t body_bytes = answer.size() - head;
  return answer.substr(0, head + (body_bytes > 0 ? rng.Below(body_bytes) : 0));
}

/// True if the upstream answers before it has read the body.
bool IsBeforeBody(UpstreamFault fault) {
  return fault == UpstreamFault::kEarlyAnswer ||
         fault == UpstreamFault::kEarlyUnframed ||
         fault == UpstreamFault::kEarlyReset;
}

SoakRoute RouteOf(const gateway::ScriptedExchange& exchange) {
  return RouteOfPath(std::string(exchange.Request().target()));
}

}  // namespace

FaultyUpstream::FaultyUpstream(const FaultyUpstreamOptions& opts,
                               Observations& observations,
                               gateway::RunRecord& run_record,
                               const std::atomic<bool>& without_faults)
    : options(opts),
      seen(observations),
      runs(run_record),
      calm(without_faults) {
  this->Start();
}

void FaultyUpstream::Start() {
  // It comes back with either version, under a new id or as a new start.
  Rng rng(Hash64(this->options.name + "/start", this->options.seed) +
          static_cast<uint64_t>(++this->starts));
  const bool is_first = this->starts == 1;
  this->version = is_first          ? this->options.version
                  : rng.Chance(0.5) ? "v1"
                                    : "v2";
  if (is_first) this->name = this->options.name;
  if (!is_first && rng.Chance(0.5)) {
    this->earlier_names.insert(this->name);
    this->name = this->options.name + "-" + std::to_string(this->starts);
  }
  this->is_ending = false;
  this->server = std::make_unique<gateway::ScriptedUpstream>(
      this->runs, [this](Exchange& exchange) { this->Serve(exchange); });
}

void FaultyUpstream::CloseUnframed(Exchange& exchange) {
  constexpr size_t kMostKept = 16;
  {
    const std::lock_guard lock(this->mutex);
    this->closed.emplace_back(gateway::Now(), exchange.Id());
    if (this->closed.size() > kMostKept) this->closed.pop_front();
  }
  exchange.Close();
}

bool FaultyUpstream::AnnouncesClose(const Exchange& exchange) const {
  constexpr uint64_t kOneIn = 5;
  return Hash64(exchange.Id() + "/close", this->options.seed) % kOneIn == 0;
}

bool FaultyUpstream::OnTick(TimePoint now) {
  constexpr Duration kDownTime = std::chrono::milliseconds(1000);
  if (this->server == nullptr) {
    if (now >= this->back_at) this->Start();
    return false;
  }
  if (!this->is_ending) return false;
  {
    const std::lock_guard lock(this->mutex);
    for (const std::string& id : this->open) {
      this->seen.AddArrival(id, UpstreamFault::kEnd,
                            this->options.name + " ends");
    }
    this->open.clear();
    // A gateway looks for signs of life for some tens of milliseconds.
    constexpr Duration kDoubtTime = std::chrono::milliseconds(100);
    for (const auto& [at, id] : this->closed) {
      if (now - at < kDoubtTime) this->seen.AddUpstreamEnd(id);
    }
    this->closed.clear();
  }
  this->server.reset();
  this->back_at = now + kDownTime;
  return true;
}

void FaultyUpstream::EndWith(Exchange& exchange) {
  if (!exchange.ReadBody()) return;
  this->seen.AddBadArrival(exchange.Id());
  this->Run(UpstreamFault::kEnd, exchange);
  exchange.Write(EncodeAnswerHead("200 OK", exchange.Id(),
                                  this->MakeSignature(exchange, 200)) +
                 "Content-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n");
  Work(10);
  this->is_ending = true;
  exchange.AwaitClose();
}

void FaultyUpstream::Serve(Exchange& exchange) {
  const std::string id = exchange.Id();
  {
    const std::lock_guard lock(this->mutex);
    this->open.insert(id);
  }
  this->ServeOpen(exchange);
  const std::lock_guard lock(this->mutex);
  this->open.erase(id);
}

void FaultyUpstream::ServeOpen(Exchange& exchange) {
  const RouteTraits& traits = TraitsOf(RouteOf(exchange));
  const bool has_prompt = traits.is_stream && !traits.is_long;
  if (has_prompt && HasBadPart(exchange.Id()) && !this->calm) {
    return this->EndWith(exchange);
  }
  Rng rng(Hash64(exchange.Id() + this->options.name, this->options.seed));
  const UpstreamFault fault = this->Draw(exchange, rng);
  this->seen.AddArrival(exchange.Id(), fault,
                        this->name + " " + this->version + ": exchange " +
                            std::to_string(exchange.Number()) + ", fault " +
                            std::string(UpstreamFaultName(fault)));
  this->Apply(fault, exchange, rng);
}

UpstreamFault FaultyUpstream::Draw(const Exchange& exchange, Rng& rng) const {
  const UpstreamFault fault = DrawUpstreamFault(rng);
  if (this->calm) return UpstreamFault::kNone;
  // On a new connection there was no earlier exchange that these could be of.
  const bool needs_earlier = fault == UpstreamFault::kEarlierRefusal ||
                             fault == UpstreamFault::kUnnamedRefusal;
  if (needs_earlier && exchange.Number() == 1) return UpstreamFault::kNone;
  const bool needs_stream = fault == UpstreamFault::kNoEvents ||
                            fault == UpstreamFault::kRefusalAsEvents;
  if (needs_stream && !TraitsOf(RouteOf(exchange)).is_stream) {
    return UpstreamFault::kCutAnswer;
  }
  return fault;
}

void FaultyUpstream::Apply(UpstreamFault fault, Exchange& exchange, Rng& rng) {
  if (IsProvedRefusal(fault)) return this->Refuse(fault, exchange, rng);
  if (fault == UpstreamFault::kResetBeforeBody ||
      fault == UpstreamFault::kResetInBody ||
      fault == UpstreamFault::kResetAfterBody) {
    return this->ResetWithoutRun(fault, exchange);
  }
  if (!IsBeforeBody(fault) && !exchange.ReadBody()) return;

  this->WritePrelude(fault, exchange, rng);
  this->Run(fault, exchange);
  constexpr int64_t kUsualMs = 20;
  constexpr int64_t kSlowMs = 850;
  Work(fault == UpstreamFault::kSlow ? rng.Between(kUsualMs, kSlowMs)
                                     : rng.Between(0, kUsualMs));
  switch (fault) {
    case UpstreamFault::kSignedFailure:
    case UpstreamFault::kUnsignedFailure:
      this->WriteOwnFailure(exchange, fault == UpstreamFault::kSignedFailure,
                            rng);
      break;
    case UpstreamFault::kCutHead:
    case UpstreamFault::kCutAnswer:
    case UpstreamFault::kCutUnframed:
    case UpstreamFault::kResetAfterRun:
    case UpstreamFault::kNoEvents:
    case UpstreamFault::kRefusalAsEvents:
    case UpstreamFault::kSilence:
    case UpstreamFault::kSilenceAfterHead:
      this->BreakOff(fault, exchange, rng);
      break;
    case UpstreamFault::kEarlyUnframed:
    case UpstreamFault::kEarlyReset:
      this->AnswerEarly(exchange, fault == UpstreamFault::kEarlyReset, rng);
      break;
    case UpstreamFault::kMalformed:
      this->WriteMalformed(exchange, rng);
      break;
    case UpstreamFault::kUnframed:
      exchange.Write(this->MakeUnframedAnswer(exchange));
      this->CloseUnframed(exchange);
      break;
    default:
      if (TraitsOf(RouteOf(exchange)).is_long) {
        this->WriteInTime(exchange);
      } else {
        exchange.Write(this->MakeAnswer(exchange, rng));
        if (this->AnnouncesClose(exchange)) exchange.Close();
      }
  }
  this->seen.AddRunEnd(exchange.Id());
  if (fault == UpstreamFault::kExtraRefusal) {
    exchange.Write(EncodeRefusal(Pick(kRefusals, rng), exchange.Id()));
  }
  if (fault == UpstreamFault::kEarlyAnswer) exchange.ReadBody();
}

void FaultyUpstream::Refuse(UpstreamFault fault, Exchange& exchange, Rng& rng) {
  const bool is_early = fault == UpstreamFault::kEarlyTrueRefusal;
  if (!is_early && !exchange.ReadBody()) return;
  const std::string_view status = Pick(kRefusals, rng);
  exchange.Write(EncodeRefusal(status, exchange.Id()));
  if (!is_early) return;
  if (rng.Chance(0.5)) {
    exchange.Close();
  } else {
    exchange.ReadBody();
  }
}

void FaultyUpstream::ResetWithoutRun(UpstreamFault fault, Exchange& exchange) {
  if (fault == UpstreamFault::kResetInBody) exchange.ReadSomeOfBody();
  if (fault == UpstreamFault::kResetAfterBody) exchange.ReadBody();
  exchange.Reset();
}

void FaultyUpstream::WritePrelude(UpstreamFault fault, Exchange& exchange,
                                  Rng& rng) {
  constexpr std::array<std::string_view, 4> kInterim = {
      "100 Continue", "102 Processing", "103 Early Hints", "199 Odd"};
  constexpr std::array<std::string_view, 5> kFields = {
      "", "Connection: close\r\n", "Retry-After: 1\r\n",
      "Content-Length: 0\r\n", "Keep-Alive: timeout=1\r\n"};
  const std::string& id = exchange.Id();
  switch (fault) {
    case UpstreamFault::kEarlierRefusal:
      exchange.Write(EncodeRefusal(Pick(kRefusals, rng), exchange.EarlierId()));
      break;
    case UpstreamFault::kUnnamedRefusal:
      exchange.Write(EncodeRefusal(Pick(kRefusals, rng), ""));
      break;
    case UpstreamFault::kOddInterim:
      exchange.Write(EncodeAnswerHead(Pick(kInterim, rng), id,
                                      rng.Chance(0.3) ? "odd" : "") +
                     std::string(rng.Chance(0.7) ? NotRunField() : "") +
                     std::string(Pick(kFields, rng)) + "\r\n");
      break;
    case UpstreamFault::kHidingInterim: {
      const std::string hidden = EncodeRefusal(Pick(kRefusals, rng), id);
      exchange.Write(EncodeAnswerHead(Pick(kInterim, rng), id, "") +
                     "Content-Length: " + std::to_string(hidden.size()) +
                     "\r\n\r\n" + hidden);
      break;
    }
    default:
      break;
  }
}

void FaultyUpstream::BreakOff(UpstreamFault fault, Exchange& exchange,
                              Rng& rng) {
  const std::string answer = fault == UpstreamFault::kCutUnframed
                                 ? this->MakeUnframedAnswer(exchange)
                                 : this->MakeAnswer(exchange, rng);
  const size_t head = answer.find("\r\n\r\n") + 4;
  if (fault == UpstreamFault::kCutUnframed) {
    return this->CutUnframed(exchange, answer, head, rng);
  }
  if (fault == UpstreamFault::kSilence) return exchange.AwaitClose();
  if (fault == UpstreamFault::kSilenceAfterHead) {
    exchange.Write(answer.substr(0, head));
    return exchange.AwaitClose();
  }
  if (fault == UpstreamFault::kCutHead) {
    exchange.Write(answer.substr(0, rng.Below(head)));
  } else if (fault == UpstreamFault::kCutAnswer) {
    exchange.Write(answer.substr(0, head + rng.Below(answer.size() - head)));
  } else if (fault == UpstreamFault::kNoEvents) {
    constexpr std::array<std::string_view, 3> kFramings = {
        "", "Content-Length: 70\r\n", "Transfer-Encoding: chunked\r\n"};
    exchange.Write(EncodeAnswerHead("200 OK", exchange.Id(),
                                    this->MakeSignature(exchange, 200)) +
                   "Content-Type: text/event-stream\r\n" +
                   std::string(Pick(kFramings, rng)) + "\r\n");
  } else if (fault == UpstreamFault::kRefusalAsEvents) {
    const std::string refusal = EncodeRefusal("503 Full", exchange.Id());
    this->seen.AddOddBody(exchange.Id(), refusal);
    exchange.Write(
        EncodeAnswerHead("200 OK", exchange.Id(),
                         this->MakeSignature(exchange, 200)) +
        "Content-Type: text/event-stream\r\n" +
        (rng.Chance(0.5) ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n") +
        refusal);
  }
  if (fault == UpstreamFault::kResetAfterRun || rng.Chance(0.5)) {
    exchange.Reset();
  } else {
    exchange.Close();
  }
}

void FaultyUpstream::AnswerEarly(Exchange& exchange, bool resets, Rng& rng) {
  const std::string answer = this->MakeUnframedAnswer(exchange);
  if (!resets) {
    exchange.Write(answer);
    ::shutdown(exchange.Socket().native_handle(), SHUT_WR);
    exchange.ReadBody();
    return this->CloseUnframed(exchange);
  }
  const size_t head = answer.find("\r\n\r\n") + 4;
  std::string written = CutInBody(answer, head, rng);
  // Nothing but the reset tells a part up to an event from the whole.
  if (TraitsOf(RouteOf(exchange)).is_stream) {
    written.erase(std::max(head, written.rfind("\n\n") + 2));
  }
  constexpr int64_t kLongestMs = 50;
  exchange.Write(written);
  Work(rng.Between(0, kLongestMs));
  // An upstream that has ended meanwhile has closed the connection in order.
  if (this->is_ending) this->seen.AddEarlyClose(exchange.Id());
  exchange.Reset();
}

void FaultyUpstream::WriteMalformed(Exchange& exchange, Rng& rng) {
  constexpr std::array<std::string_view, 4> kStatuses = {"000 OK", "099 Odd",
                                                         "600 Odd", "20 OK"};
  constexpr std::array<std::string_view, 7> kFields = {
      "X Note: a\r\n",
      "X\x01: a\r\n",
      "X: a\r\n b\r\n",
      "X: a\x01\r\n",
      "X\x7f: a\r\n",
      "Not Executed: 1\r\n",
      "Transfer-Encoding: gzip, chunked\r\n"};
  const bool has_status = rng.Chance(0.4);
  const std::string body = this->MakeBody(exchange);
  // No run has made an answer with this signature.
  exchange.Write(
      EncodeAnswerHead(has_status ? Pick(kStatuses, rng) : "200 OK",
                       exchange.Id(), this->options.name + "-malformed") +
      "Content-Type: text/event-stream\r\n" +
      std::string(has_status ? "" : Pick(kFields, rng)) + "\r\n" + body);
  exchange.Close();
}

void FaultyUpstream::CutUnframed(Exchange& exchange, const std::string& answer,
                                 size_t head, Rng& rng) {
  std::string written = CutInBody(answer, head, rng);
  // Nothing but its place tells a close after an event from the end.
  if (rng.Chance(0.5)) {
    written.erase(std::max(head, written.rfind("\n\n") + 2));
  }
  const bool resets = rng.Chance(0.3);
  if (!resets) this->seen.AddEarlyClose(exchange.Id());
  exchange.Write(written);
  if (resets) {
    exchange.Reset();
  } else {
    exchange.Close();
  }
}

void FaultyUpstream::Run(UpstreamFault fault, Exchange& exchange) {
  exchange.Run();
  this->seen.AddRun(exchange.Id());
  // Before the whole body was read it cannot be compared.
  if (!IsBeforeBody(fault) &&
      !IsRequestBody(exchange.Id(), exchange.Request().body())) {
    this->seen.AddChange(exchange.Id());
  }
}

std::string FaultyUpstream::MakeSignature(const Exchange& exchange,
                                          unsigned int status) {
  std::string signature =
      this->options.name + "-" + std::to_string(++this->answers);
  this->seen.AddSignature(exchange.Id(), signature, status);
  return signature;
}

void FaultyUpstream::WriteOwnFailure(Exchange& exchange, bool is_signed,
                                     Rng& rng) {
  struct Failure {
    unsigned int status;
    std::string_view text;
  };
  constexpr std::array<Failure, 4> kFailures = {
      Failure{503, "503 Full"}, Failure{429, "429 Slow"},
      Failure{408, "408 Late"}, Failure{500, "500 Failed"}};
  const Failure& failure = kFailures[rng.Below(kFailures.size())];
  const std::string signature =
      is_signed ? this->MakeSignature(exchange, failure.status) : "";
  exchange.Write(EncodeAnswerHead(failure.text, exchange.Id(), signature) +
                 "Content-Length: 4\r\n\r\noops");
}

void FaultyUpstream::WriteInTime(Exchange& exchange) {
  constexpr int64_t kEventMs = 25;
  exchange.Write(EncodeAnswerHead("200 OK", exchange.Id(),
                                  this->MakeSignature(exchange, 200)) +
                 "Content-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n");
  std::string events = this->MakeBody(exchange);
  while (!events.empty() && !this->is_ending) {
    Work(kEventMs);
    const size_t size = events.find("\n\n") + 2;
    exchange.Write(EncodeChunk(std::string_view(events).substr(0, size)));
    events.erase(0, size);
  }
  if (!events.empty()) {
    // Its connections may close some seconds later, while gateways settle.
    this->seen.AddArrival(exchange.Id(), UpstreamFault::kEnd,
                          this->name + " breaks the stream off");
    return exchange.AwaitClose();
  }
  exchange.Write(EncodeChunk(""));
}

std::string FaultyUpstream::MakeUnframedAnswer(const Exchange& exchange) {
  const bool is_stream = TraitsOf(RouteOf(exchange)).is_stream;
  return EncodeAnswerHead("200 OK", exchange.Id(),
                          this->MakeSignature(exchange, 200)) +
         (is_stream ? "Content-Type: text/event-stream\r\n\r\n" : "\r\n") +
         this->MakeBody(exchange);
}

std::string FaultyUpstream::MakeBody(const Exchange& exchange) const {
  const std::string last = Field(exchange, kFieldLastEvent);
  return AnswerBody(RouteOf(exchange), exchange.Id(), this->version,
                    last.empty() ? 0 : std::stoull(last));
}

std::string FaultyUpstream::MakeAnswer(const Exchange& exchange, Rng& rng) {
  std::string answer = EncodeAnswerHead("200 OK", exchange.Id(),
                                        this->MakeSignature(exchange, 200));
  if (this->AnnouncesClose(exchange)) answer += "Connection: close\r\n";
  if (!TraitsOf(RouteOf(exchange)).is_stream) {
    const std::string body = this->MakeBody(exchange);
    if (rng.Chance(0.5)) {
      return answer + "Transfer-Encoding: chunked\r\n\r\n" + EncodeChunk(body) +
             EncodeChunk("");
    }
    return answer + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }
  std::string events = this->MakeBody(exchange);
  answer += "Content-Type: text/event-stream\r\n";
  answer += "Transfer-Encoding: chunked\r\n\r\n";
  // Chunks may end anywhere in an event.
  while (!events.empty()) {
    const size_t size = 1 + rng.Below(events.size());
    answer += EncodeChunk(std::string_view(events).substr(0, size));
    events.erase(0, size);
  }
  return answer + EncodeChunk("");
}

}  // namespace fuchsiadrum::soak
