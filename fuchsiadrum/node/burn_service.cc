#include "fuchsiadrum/node/burn_service.h"

#include "fuchsiadrum/report/burn_page.h"
#include "fuchsiadrum/report/burn_report.h"

namespace fuchsiadrum::node {
namespace {

/// Steps in which a request is refused before it was dispatched.
bool IsRefusal(const RequestEnd& end) {
  return end.outcome == Outcome::kNotRun;
}

/// A caller's mistake says nothing about the service.
bool IsCallersFault(const RequestEnd& end) {
  return end.status >= 400 && end.status < 500 && end.status != 402 &&
         end.status != 429;
}

}  // namespace

void BurnService::OnRequestEnd(TimePoint now, const RequestEnd& end) {
  if (end.organisation.empty() || IsCallersFault(end)) return;
  this->recorder.Record(
      now, end.organisation, end.work_class,
      {.first_token = end.first_token,
       .between_tokens = end.between_tokens,
       .refused = IsRefusal(end),
       .false_refusal = end.step == "reserve" && end.status == 503,
       .complete = end.outcome == Outcome::kComplete});
}

void BurnService::FollowCatalogue() {
  this->objectives.clear();
  for (const auto* row : this->catalogue.OfKind("objective")) {
    this->objectives.push_back(row->entry.objective());
  }
  this->recorder.SetObjectives(this->objectives);
}

void BurnService::AskPeers(TimePoint /*now*/, Outbox& out) {
  for (const VmInfo& peer : this->peers.AlivePeers()) {
    out.AddMessage(peer.ref).mutable_figures_ask()->set_ask_id(this->next_ask);
  }
  ++this->next_ask;
}

std::string BurnService::Render(
    TimePoint now, const std::string& format,
    const std::vector<std::string>& expected) const {
  report::BurnReport burn;
  burn.SetObjectives(this->objectives);
  burn.Expect(expected);
  burn.Add(this->recorder.Export(now, this->peers.Self()));
  for (const auto& [vm, received] : this->received) {
    if (now - received.at <= kStale) burn.Add(received.figures);
  }

  if (format == "json") return burn.ToJson();
  if (format == "html") return report::BurnPage(burn.Figures()).Render();
  return burn.ToText();
}

void BurnService::OnMessage(TimePoint now, const VmRef& from,
                            const pb::PeerMessage& message, Outbox& out) {
  if (message.has_figures_ask()) {
    pb::FiguresReply& reply = *out.AddMessage(from).mutable_figures_reply();
    reply.set_ask_id(message.figures_ask().ask_id());
    *reply.mutable_figures() = this->recorder.Export(now, this->peers.Self());
  } else if (message.has_figures_reply()) {
    this->received[from.vm] = {now, message.figures_reply().figures()};
  }
}

}  // namespace fuchsiadrum::node
