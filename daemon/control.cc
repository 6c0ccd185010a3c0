#include "daemon/control.h"

#include <utility>

#include "daemon/clock.h"
#include "daemon/logging.h"

namespace fuchsiadrum::daemon {
namespace {

using node::NodeActions;

constexpr Duration kTick = std::chrono::milliseconds(10);

}  // namespace

Control::Control(DecisionCore& decision_core, Duration load_poll_interval,
                 asio::io_context& io_context, Rings& daemon_rings)
    : core(decision_core),
      poll_interval(load_poll_interval),
      rings(daemon_rings),
      timer(io_context),
      to_front(daemon_rings.to_front, io_context),
      to_upstream(daemon_rings.to_upstream, io_context),
      to_peers(daemon_rings.to_peers, io_context),
      to_log(daemon_rings.to_log, io_context),
      last_tick_us(Now().us) {
  this->rings.from_front.SetHandler(
      [this](FromFront& item) { this->OnFront(item); });
  this->rings.from_admin.SetHandler(
      [this](FromAdmin& item) { this->OnAdmin(item); });
  this->rings.from_upstream.SetHandler(
      [this](const FromUpstream& item) { this->OnUpstream(item); });
  this->rings.from_peers.SetHandler(
      [this](const PeerArrival& arrival) { this->OnPeers(arrival); });
  this->rings.from_log.SetHandler(
      [this](const FromLog& item) { this->OnLog(item); });
  const auto update = [this] { this->UpdatePressure(); };
  this->to_front.SetOnClear(update);
  this->to_upstream.SetOnClear(update);
  this->to_peers.SetOnClear(update);
}

void Control::Start() {
  this->OnTick();
  this->to_log.Send(ReadOrder{this->core.NextLogOffset()});
}

void Control::BeginDrain() {
  NodeActions actions;
  this->core.BeginDrain(Now(), actions);
  this->Perform(actions);
}

void Control::OnTick() {
  const TimePoint now = Now();
  this->last_tick_us = now.us;
  NodeActions actions;
  this->core.OnTick(now, actions);
  this->Perform(actions);

  if (now - this->last_poll >= this->poll_interval) {
    this->last_poll = now;
    this->to_upstream.Send(PollOrder{this->core.UpstreamsToPoll()});
  }
  this->timer.expires_after(kTick);
  this->timer.async_wait([this](ErrorCode error) {
    if (!error) this->OnTick();
  });
}

void Control::OnFront(FromFront& item) {
  if (const auto* arrived = std::get_if<CallerArrived>(&item)) {
    this->OnRequest(arrived->request);
  } else if (const auto* gone = std::get_if<CallerGone>(&item)) {
    this->OnCallerGone(gone->handle);
  } else {
    this->Answer(std::get<AdminCall>(item));
  }
}

void Control::OnRequest(const CallerRequestPtr& request) {
  this->requests[request->start.handle] = request;
  NodeActions actions;
  this->core.OnRequest(Now(), request->start, actions);
  this->Perform(actions);
}

void Control::OnCallerGone(node::RequestHandle handle) {
  const auto found = this->requests.find(handle);
  if (found == this->requests.end()) return;

  node::AttemptEvent event;
  event.kind = node::AttemptEventKind::kCallerGone;
  event.handle = handle;
  event.attempt = found->second->pipe.Attempt();
  event.delivered = found->second->pipe.HasDelivered();
  NodeActions actions;
  this->core.OnAttempt(Now(), event, actions);
  this->Perform(actions);
  // Nobody waits for a reply; a run that goes on needs no entry here.
  this->requests.erase(handle);
}

void Control::OnAdmin(FromAdmin& item) {
  if (const auto* call = std::get_if<AdminCall>(&item)) {
    return this->Answer(*call);
  }
  const auto& status = std::get<StatusCall>(item);
  if (status.metrics) return status.reply(this->core.Metrics(Now()));
  status.reply(this->not_ready.empty() ? this->core.ReadyReason(Now())
                                       : this->not_ready);
}

void Control::Answer(const AdminCall& call) {
  NodeActions actions;
  auto answer =
      this->core.OnAdmin(Now(), call.method, call.target, call.body, actions);
  this->Perform(actions);
  call.reply(std::move(answer));
}

void Control::OnUpstream(const FromUpstream& item) {
  NodeActions actions;
  if (const auto* report = std::get_if<node::UpstreamReport>(&item)) {
    this->core.OnUpstreamReport(Now(), *report, actions);
    return this->Perform(actions);
  }
  if (const auto* placed = std::get_if<PlacementAnswered>(&item)) {
    this->core.OnOrderAnswer(Now(), placed->upstream, placed->answer, actions);
    return this->Perform(actions);
  }
  const auto* event = std::get_if<node::AttemptEvent>(&item);
  this->core.OnAttempt(Now(), *event, actions);
  this->Perform(actions);
  if (event->kind == node::AttemptEventKind::kCompleted) this->Complete(*event);
}

void Control::Complete(const node::AttemptEvent& event) {
  // The core orders replies other than whole answers; a completion that it
  // took for the current attempt ends the request.
  const auto found = this->requests.find(event.handle);
  if (found == this->requests.end() ||
      found->second->pipe.Attempt() != event.attempt) {
    return;
  }
  node::RequestAction reply;
  reply.handle = event.handle;
  reply.attempt = event.attempt;
  reply.status = event.status;
  reply.outcome = node::Outcome::kComplete;
  reply.step = "complete";
  this->Perform(std::move(reply));
}

void Control::OnPeers(const PeerArrival& arrival) {
  NodeActions actions;
  for (const pb::PeerMessage& message : arrival.messages) {
    this->core.OnPeerMessage(Now(), arrival.from, message, actions);
  }
  this->Perform(actions);
}

void Control::OnLog(const FromLog& item) {
  NodeActions actions;
  if (const auto* read = std::get_if<LogRead>(&item)) {
    this->OnLogRead(*read, actions);
    this->Perform(actions);
    this->to_log.Send(ReadOrder{this->core.NextLogOffset()});
    return;
  }
  if (const auto* append = std::get_if<AppendAnswered>(&item)) {
    this->core.OnAppendAnswer(Now(), append->stored, actions);
  } else {
    this->core.OnVmList(Now(), std::get<VmListRead>(item).vms, actions);
  }
  this->Perform(actions);
}

void Control::OnLogRead(const LogRead& read, NodeActions& actions) {
  if (!read.bounds) return this->core.OnLogUnreachable(Now(), actions);
  this->core.OnLogBounds(Now(), read.bounds->first, read.bounds->end, actions);
  if (!read.batches.empty()) {
    this->core.OnLogBatches(Now(), read.from, read.batches, actions);
  }
}

void Control::Perform(NodeActions& actions) {
  for (const NodeActions::LogLine& line : actions.log_lines) {
    LogLine(line.severity, line.text);
  }
  if (actions.append) {
    this->to_log.Send(AppendOrder{std::move(*actions.append)});
  }
  if (!actions.messages.empty()) {
    this->to_peers.Send(std::move(actions.messages));
  }
  for (node::RequestAction& action : actions.requests) {
    this->Perform(std::move(action));
  }
  for (upstream::PlacementOrder& order : actions.orders) {
    this->to_upstream.Send(std::move(order));
  }
  this->UpdatePressure();
}

void Control::Perform(node::RequestAction action) {
  // The cancel of an attempt may come after the reply to its request.
  if (action.kind == node::RequestActionKind::kCancel) {
    return this->to_upstream.Send(CancelOrder{action.handle, action.attempt});
  }

  const auto found = this->requests.find(action.handle);
  if (found == this->requests.end()) return;

  if (action.kind == node::RequestActionKind::kDispatch) {
    found->second->pipe.BeginAttempt(action.attempt);
    this->to_upstream.Send(DispatchOrder{found->second, std::move(action)});
  } else {
    this->requests.erase(found);
    this->to_front.Send(std::move(action));
  }
}

void Control::UpdatePressure() {
  // New requests wait in their ring, and then are refused by the front, while
  // orders of earlier ones find no room.
  this->rings.from_front.SetPaused(!this->to_front.IsClear() ||
                                   !this->to_upstream.IsClear() ||
                                   !this->to_peers.IsClear());
}

}  // namespace fuchsiadrum::daemon
