#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/budget/escrow_agent.h"
#include "fuchsiadrum/catalogue/catalogue.h"
#include "fuchsiadrum/core/outbox.h"
#include "fuchsiadrum/node/request_events.h"
#include "fuchsiadrum/node/request_observer.h"
#include "fuchsiadrum/node/request_plan.h"
#include "fuchsiadrum/request/admission.h"
#include "fuchsiadrum/request/claim_agent.h"
#include "fuchsiadrum/request/retry_budget.h"
#include "fuchsiadrum/routing/router.h"
#include "fuchsiadrum/upstream/upstream_table.h"

namespace fuchsiadrum::node {

/// The parts that a request passes through, in this order: catalogue, claim,
/// admission, reservation, choice of upstream, attempts, settlement. The claim
/// comes before the admission, so that a request that is shed can be answered
/// "not-run": only its home knows that no other request of its key ran.
struct PipelineParts {
  const catalogue::Catalogue& catalogue;
  request::Admission& admission;
  request::ClaimAgent& claims;
  budget::EscrowAgent& escrow;
  routing::Router& router;
  upstream::UpstreamTable& upstreams;
  request::RetryBudget& retries;
  RequestObserver& observer;
};

/// Options of the pipeline.
struct PipelineOptions {
  std::string availability_zone;
  /// Requests that run at once.
  int max_in_flight = 1024;
  /// Longest wait of a request for tokens from peers.
  Duration budget_wait = std::chrono::seconds(1);
  /// Longest wait for an upstream with room.
  Duration upstream_wait = std::chrono::seconds(5);
  /// Longest wait for the home to confirm that a key did not run.
  Duration release_wait = std::chrono::milliseconds(500);
  /// Retry-After while no upstream or no home can be had.
  Duration unavailable_retry_after = std::chrono::seconds(2);
};

/// Carries each caller's request through the parts of one daemon.
class RequestPipeline {
 public:
  RequestPipeline(PipelineParts parts, PipelineOptions options)
      : parts(parts), options(std::move(options)) {}

  /// A caller's request.
  void OnRequest(TimePoint now, const RequestStart& request, Outbox& out);
  /// Progress or end of an attempt.
  void OnAttempt(TimePoint now, const AttemptEvent& event, Outbox& out);
  /// Carries on whatever waits for another part. Call it after every event.
  void Advance(TimePoint now, Outbox& out);
  /// Deadlines, backoffs and waits. Call it on every tick.
  void OnTick(TimePoint now, Outbox& out);

  /// Orders to the front door since the last call.
  std::vector<RequestAction> TakeActions();
  /// Requests that are not over.
  size_t Active() const { return this->requests.size(); }
  /// Finished requests whose billing the home has not decided.
  size_t Unbilled() const { return this->unbilled.size(); }

 private:
  enum class Stage {
    kClaiming,   // waits for the key's home
    kQueued,     // waits for admission
    kReserving,  // waits for tokens
    kChoosing,   // waits for an upstream with room
    kBackoff,    // waits for its retry
    kRunning,    // an attempt is in flight
    kReleasing,  // did not run; waits for its home to confirm that
  };
  /// Answer to a caller, before it is matched to a request.
  struct Answer {
    int status = 503;
    Outcome outcome = Outcome::kNotRun;
    std::string step;
    std::string reason;
    Duration retry_after = Duration::zero();
    std::optional<pb::StoredAnswer> stored;
  };
  struct ActiveRequest {
    RequestStart start;
    RequestPlan plan;
    Stage stage = Stage::kQueued;
    TimePoint received;
    TimePoint since;
    TimePoint dispatched;
    std::optional<TimePoint> first_token;
    uint32_t attempt = 0;
    uint32_t retries = 0;
    std::vector<upstream::UpstreamIndex> excluded;
    std::optional<routing::Dispatch> dispatch;
    std::string upstream;
    budget::ReservationId reservation = 0;
    Tokens reserved;
    /// Told to run by the claim agent, which waits for Done.
    bool told_to_run = false;
    /// In the admission queue or started by it.
    bool admitted = false;
    /// Answer that waits for the home's confirmation.
    std::optional<Answer> held;
    /// A byte of the request may have reached an upstream.
    bool may_have_run = false;
    /// The caller has its answer or is gone; only the run is left.
    bool answered = false;
  };

  // Stages, in the order in which a request passes them.
  void Claim(TimePoint now, ActiveRequest& request, Outbox& out);
  void OnDecision(TimePoint now, ActiveRequest& request,
                  const request::Decision& decision, Outbox& out);
  void Admit(TimePoint now, ActiveRequest& request, Outbox& out);
  void Reserve(TimePoint now, ActiveRequest& request, Outbox& out);
  void OnReserved(TimePoint now, ActiveRequest& request,
                  const budget::ReserveResult& result, Outbox& out);
  void Choose(TimePoint now, ActiveRequest& request, Outbox& out);
  void Dispatch(TimePoint now, ActiveRequest& request,
                upstream::UpstreamIndex index);

  // Ends of an attempt.
  void OnFirstToken(TimePoint now, ActiveRequest& request);
  void OnCompleted(TimePoint now, ActiveRequest& request,
                   const AttemptEvent& event, Outbox& out);
  void OnFailedAttempt(TimePoint now, ActiveRequest& request,
                       const AttemptEvent& event, Outbox& out);
  void OnCallerGone(TimePoint now, ActiveRequest& request,
                    const AttemptEvent& event, Outbox& out);
  /// Orders the front door to close the stream of the present attempt.
  void CancelAttempt(TimePoint now, ActiveRequest& request);
  bool TryAgain(TimePoint now, ActiveRequest& request,
                const AttemptEvent& event);
  void Settle(TimePoint now, ActiveRequest& request, Tokens used);

  // Ends of a request.
  void Reply(TimePoint now, ActiveRequest& request, const Answer& answer);
  void EndNotRun(TimePoint now, ActiveRequest& request, Answer answer,
                 Outbox& out);
  void OnReleased(TimePoint now, ActiveRequest& request, bool released);
  void EndUncertain(TimePoint now, ActiveRequest& request, const Answer& answer,
                    Outbox& out);
  void Finish(TimePoint now, ActiveRequest& request, Tokens used);
  void Expire(TimePoint now, ActiveRequest& request, Outbox& out);
  void ReportDone(TimePoint now, const ActiveRequest& request,
                  const request::Completion& completion, Outbox& out);

  routing::RequestFeatures Features(const ActiveRequest& request) const;
  ActiveRequest* Find(RequestHandle handle);
  ActiveRequest* FindById(const std::string& request_id);
  int FreeCapacity() const;

  PipelineParts parts;
  PipelineOptions options;
  std::map<RequestHandle, ActiveRequest> requests;
  std::map<std::string, RequestHandle> by_id;
  std::map<budget::ReservationId, RequestHandle> reserving;
  /// Reservations that wait for the home's decision on the billing.
  std::map<std::string, budget::ReservationId> unbilled;
  std::vector<RequestAction> actions;
};

}  // namespace fuchsiadrum::node
