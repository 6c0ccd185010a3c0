#include "bench/fleet/callers.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::bench {
namespace {

constexpr Duration kDeadline = std::chrono::seconds(10);
constexpr Duration kReplyTimeout = std::chrono::seconds(6);
constexpr Duration kRetryDelay = std::chrono::milliseconds(700);
constexpr int kMaxTries = 4;
constexpr std::array<const char*, 2> kOrganisations = {"choir-hire",
                                                       "gift-draw"};

std::string CallerSecret(const std::string& organisation) {
  return organisation + ".secret";
}

}  // namespace

Callers::Callers(Fleet& fleet, Rng rng) : fleet(fleet), rng(rng) {}

void Callers::Put(size_t daemon, const std::string& key,
                  const std::string& entry) {
  const nlohmann::json edit = {
      {"key", key},         {"entry", nlohmann::json::parse(entry)},
      {"base_revision", 0}, {"author", "root"},
      {"shift", "morning"}, {"reason", "set-up"},
      {"unix_ms", 1},       {"edit_id", "set-up-" + key}};
  const auto answer =
      this->fleet.Admin(daemon, "POST", "/admin/edits", edit.dump());
  if (answer.status != 202) throw std::runtime_error(key + ": " + answer.json);
}

void Callers::SetUp(size_t daemon, Tokens budget) {
  this->Put(daemon, "model/drafter",
            R"({"name":"drafter","owner":"o","workClass":"CONTRACT_DRAFT",
                "model":{"maxOutputTokens":400,"maxPromptTokens":9000,
                         "defaultClass":"CONTRACT_DRAFT"}})");
  this->Put(daemon, "service/desk",
            R"({"name":"desk","owner":"o","service":{"calls":[
                {"method":"POST","pathPrefix":"/book","idempotent":false,
                 "workClass":"BOOKING"},
                {"method":"POST","pathPrefix":"/check","idempotent":true,
                 "workClass":"DRAW_CHECK"}]}})");
  for (const auto& upstream : this->fleet.Upstreams()) {
    const bool engine = upstream->Name().starts_with("engine");
    nlohmann::json body = {{"address", "127.0.0.1:1"},
                           {"availabilityZone", upstream->Zone()}};
    if (engine) {
      body["models"] = {"drafter"};
    } else {
      body["service"] = "desk";
    }
    const nlohmann::json entry = {
        {"name", upstream->Name()}, {"owner", "o"}, {"upstream", body}};
    this->Put(daemon, "upstream/" + upstream->Name(), entry.dump());
  }
  for (const std::string organisation : kOrganisations) {
    nlohmann::json entry = {{"name", organisation}, {"owner", "o"}};
    entry["organisation"] = {{"displayName", organisation}};
    this->Put(daemon, "organisation/" + organisation, entry.dump());
    entry.erase("organisation");
    entry["callerKey"] = {
        {"organisation", organisation},
        {"saltHex", ToHex("0123456789abcdef")},
        {"digestHex",
         ToHex(Hmac("0123456789abcdef", CallerSecret(organisation)))}};
    this->Put(daemon, "caller-key/" + organisation, entry.dump());
  }
  // Top-ups need the organisation in force.
  this->fleet.Queue().RunUntil(this->fleet.Queue().Now() +
                               std::chrono::seconds(1));
  for (const std::string organisation : kOrganisations) {
    const nlohmann::json body = {{"tokens", budget.count},
                                 {"top_up_id", "first"},
                                 {"author", "root"},
                                 {"unix_ms", 1}};
    const auto answer = this->fleet.Admin(
        daemon, "POST", "/admin/budget/" + organisation + "/top-ups",
        body.dump());
    if (answer.status != 202) throw std::runtime_error(answer.json);
  }
}

void Callers::Start(Duration interval) {
  this->running = true;
  this->Next(interval);
}

void Callers::Next(Duration interval) {
  this->fleet.Queue().After(interval, [this, interval] {
    if (!this->running) return;
    const auto kind = static_cast<CallKind>(this->rng.Below(4));
    this->Begin(kind, this->rng.Below(this->fleet.Size()), false);
    this->Next(interval);
  });
}

void Callers::Probe() {
  for (size_t daemon = 0; daemon < this->fleet.Size(); ++daemon) {
    if (!this->fleet.IsRunning(daemon)) continue;
    for (const CallKind kind : {CallKind::kDraft, CallKind::kKeyedDraft,
                                CallKind::kBooking, CallKind::kDrawCheck}) {
      this->Begin(kind, daemon, true);
    }
  }
}

void Callers::Begin(CallKind kind, size_t daemon, bool probe) {
  const uint64_t id = this->next_id++;
  CallRecord record{.kind = kind,
                    .organisation = kOrganisations[this->rng.Below(2)],
                    .probe = probe};
  if (kind == CallKind::kKeyedDraft || kind == CallKind::kBooking) {
    record.key = "key-" + std::to_string(id);
  }
  if (probe && kind == CallKind::kBooking) {
    // A shard that lost home and witness answers callers' own keys "unknown"
    // until an operator reopens it; keys that the fleet issues run at once.
    const auto issued = nlohmann::json::parse(
        this->fleet.Admin(daemon, "POST", "/admin/idempotency-keys", "{}")
            .json);
    record.key = issued.value("key", record.key);
  }
  this->records.push_back(std::move(record));
  const size_t index = this->records.size() - 1;
  this->Attempt(index, daemon, probe ? kMaxTries : 0);
  if (this->faults.retry_elsewhere && !this->records[index].key.empty()) {
    this->Attempt(index, this->OtherDaemon(daemon), kMaxTries);
  }
}

void Callers::Attempt(size_t index, size_t daemon, int tries) {
  CallRecord& record = this->records[index];
  node::RequestStart request;
  request.handle = this->next_id++;
  request.request_id = "r" + std::to_string(request.handle);
  request.bearer = CallerSecret(record.organisation);
  request.idempotency_key = record.key;
  request.body_digest = "d";
  request.deadline = this->fleet.Queue().Now() + kDeadline;
  if (record.kind == CallKind::kBooking ||
      record.kind == CallKind::kDrawCheck) {
    request.service = "desk";
    request.method = "POST";
    request.path = record.kind == CallKind::kBooking ? "/book" : "/check";
  } else {
    request.model = "drafter";
    request.prompt_bound = Tokens(this->rng.Between(20, 200));
    request.max_output = Tokens(this->rng.Between(20, 200));
    request.may_cap_output = false;
  }
  record.request_ids.push_back(request.request_id);

  const std::string request_id = request.request_id;
  auto answered = std::make_shared<bool>(false);
  this->fleet.Send(daemon, request, [=, this](const CallerReply& reply) {
    *answered = true;
    this->OnReply(index, request_id, daemon, tries, reply);
  });
  // A caller that hears nothing tries another daemon with the same key.
  this->fleet.Queue().After(kReplyTimeout, [=, this] {
    if (*answered || tries >= kMaxTries || this->records[index].key.empty()) {
      return;
    }
    this->Attempt(index, this->OtherDaemon(daemon), tries + 1);
  });
}

void Callers::OnReply(size_t index, const std::string& request_id,
                      size_t daemon, int tries, const CallerReply& reply) {
  CallRecord& record = this->records[index];
  const node::Outcome outcome = reply.action.outcome;
  record.outcomes.push_back(outcome);
  if (outcome == node::Outcome::kComplete) {
    record.complete = true;
    const std::string body =
        reply.action.stored ? reply.action.stored->body() : "";
    const bool own =
        std::find(record.request_ids.begin(), record.request_ids.end(), body) !=
        record.request_ids.end();
    if (!own || (reply.streamed && body != request_id)) ++this->mixed_up;
    return;
  }
  if (outcome == node::Outcome::kNotRun && this->Started(record)) {
    ++this->false_not_run;
  }
  if (tries < kMaxTries && !record.key.empty()) {
    this->fleet.Queue().After(kRetryDelay, [=, this] {
      this->Attempt(index, this->OtherDaemon(daemon), tries + 1);
    });
  }
}

bool Callers::Started(const CallRecord& record) const {
  for (const auto& upstream : this->fleet.Upstreams()) {
    for (const UpstreamRun& run : upstream->Runs()) {
      if (std::find(record.request_ids.begin(), record.request_ids.end(),
                    run.request_id) != record.request_ids.end()) {
        return true;
      }
    }
  }
  return false;
}

size_t Callers::OtherDaemon(size_t daemon) {
  return (daemon + 1 + this->rng.Below(this->fleet.Size() - 1)) %
         this->fleet.Size();
}

void Callers::Edit(size_t daemon) {
  if (!this->fleet.IsRunning(daemon)) return;
  const auto shown = nlohmann::json::parse(
      this->fleet.Admin(daemon, "GET", "/admin/catalogue/model/drafter", "")
          .json);
  if (!shown.contains("entry")) return;
  nlohmann::json entry = shown["entry"];
  entry["model"]["maxOutputTokens"] = this->rng.Between(300, 500);
  const nlohmann::json edit = {
      {"key", "model/drafter"},
      {"entry", entry},
      {"base_revision", shown["revision"]},
      {"author", "root"},
      {"shift", "afternoon"},
      {"reason", "bench"},
      {"unix_ms", this->fleet.Queue().Now().us / 1000},
      {"edit_id", "e" + std::to_string(this->next_id++)}};
  this->fleet.Admin(daemon, "POST", "/admin/edits", edit.dump());
}

CallerFindings Callers::Check() const {
  CallerFindings out;
  out.false_not_run = this->false_not_run;
  out.mixed_up = this->mixed_up;
  std::map<std::string, int> runs;
  for (const auto& upstream : this->fleet.Upstreams()) {
    for (const UpstreamRun& run : upstream->Runs()) ++runs[run.request_id];
  }
  for (const CallRecord& record : this->records) {
    ++out.calls;
    int total = 0;
    for (const std::string& id : record.request_ids) {
      const auto found = runs.find(id);
      if (found != runs.end()) total += found->second;
    }
    if (record.kind == CallKind::kBooking && total > 1) {
      out.double_runs += total - 1;
    }
    out.replies += static_cast<int64_t>(record.outcomes.size());
    if (record.complete) ++out.complete;
    if (record.outcomes.empty()) ++out.unanswered;
    for (const node::Outcome outcome : record.outcomes) {
      if (outcome == node::Outcome::kUnknown) ++out.unknown;
      if (outcome == node::Outcome::kNotRun) ++out.not_run;
    }
  }
  return out;
}

std::vector<std::string> Callers::FailedProbes() const {
  static constexpr std::array<const char*, 4> kNames = {
      "draft", "keyed-draft", "booking", "draw-check"};
  std::vector<std::string> out;
  for (const CallRecord& record : this->records) {
    if (!record.probe || record.complete) continue;
    std::string text = kNames.at(static_cast<size_t>(record.kind));
    text += record.outcomes.empty()
                ? ": no reply"
                : ": " + std::string(node::OutcomeName(record.outcomes.back()));
    out.push_back(std::move(text));
  }
  return out;
}

std::map<std::string, Tokens> Callers::LargestBill() const {
  std::map<std::string, Tokens> by_request;
  for (const auto& upstream : this->fleet.Upstreams()) {
    for (const UpstreamRun& run : upstream->Runs()) {
      Tokens& most = by_request[run.request_id];
      most = std::max(most, run.used);
    }
  }
  std::map<std::string, Tokens> out;
  for (const CallRecord& record : this->records) {
    Tokens most;
    for (const std::string& id : record.request_ids) {
      const auto found = by_request.find(id);
      if (found != by_request.end()) most = std::max(most, found->second);
    }
    out[record.organisation] += most;
  }
  return out;
}

}  // namespace fuchsiadrum::bench
