#include "fuchsiadrum/node/admin_api.h"

#include <charconv>
#include <limits>

#include "fuchsiadrum/catalogue/edit_signature.h"
#include "fuchsiadrum/catalogue/entry_schema.h"
#include "fuchsiadrum/core/bounded_json.h"
#include "fuchsiadrum/core/hash.h"
#include "fuchsiadrum/core/json_number.h"
#include "fuchsiadrum/node/entry_json.h"

namespace fuchsiadrum::node {
namespace {

constexpr std::string_view kPrefix = "/admin/";
/// A budget is shown as low at the handover below this share of its top-ups.
constexpr double kLowShare = 0.1;

using Answer = Node::AdminAnswer;

Answer Json(int status, const nlohmann::json& json) {
  Answer answer;
  answer.status = status;
  answer.json = json.dump();
  return answer;
}

Answer Ok(const nlohmann::json& json) { return Json(200, json); }

Answer Fail(int status, const std::string& reason) {
  return Json(status, {{"reason", reason}});
}

template <typename T>
T Number(const std::map<std::string, std::string, std::less<>>& query,
         std::string_view name, T fallback) {
  const auto found = query.find(name);
  if (found == query.end()) return fallback;
  const std::string& text = found->second;
  T value{};
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return result.ec == std::errc() ? value : fallback;
}

std::string Text(const nlohmann::json& json, const char* name) {
  const auto found = json.find(name);
  return found != json.end() && found->is_string() ? found->get<std::string>()
                                                   : std::string();
}

int64_t Integer(const nlohmann::json& json, const char* name) {
  const auto found = json.find(name);
  if (found == json.end()) return 0;
  constexpr WholeRange kAny = {.min = std::numeric_limits<int64_t>::min()};
  return WholeNumber(*found, kAny).value_or(0);
}

/// Removes `prefix` from the front of `text`; false: it is not there.
bool Strip(std::string& text, std::string_view prefix) {
  if (!text.starts_with(prefix)) return false;
  text.erase(0, prefix.size());
  return true;
}

nlohmann::json RowJson(const std::string& key,
                       const catalogue::CatalogueRow& row) {
  return {{"key", key},
          {"revision", row.revision},
          {"author", row.author},
          {"unix_ms", row.unix_ms},
          {"entry", EntryJson::Write(row.entry)}};
}

nlohmann::json ChangeJson(const pb::CatalogueChange& change) {
  const pb::CatalogueEdit& edit = change.edit();
  return {{"key", edit.key()},
          {"author", edit.author()},
          {"shift", edit.shift()},
          {"reason", edit.reason()},
          {"unix_ms", edit.unix_ms()},
          {"revision", change.revision()},
          {"verdict", change.verdict()},
          {"before", change.has_before() ? EntryJson::Write(change.before())
                                         : nlohmann::json()},
          {"after", edit.has_entry() ? EntryJson::Write(edit.entry())
                                     : nlohmann::json()}};
}

nlohmann::json GrantJson(const budget::Grant& grant) {
  const char* state = grant.written_off ? "written off"
                      : grant.sealed    ? "sealed"
                                        : "open";
  return {{"grant", grant.id.ToString()},
          {"holder", grant.holder.ToString()},
          {"amount", grant.amount.count},
          {"spent", grant.spent.count},
          {"possibly_used", grant.possibly_used.count},
          {"remainder", grant.Remainder().count},
          {"fine_step", grant.fine_step.count},
          {"coarse_step", grant.coarse_step.count},
          {"state", state},
          {"cause", grant.cause}};
}

}  // namespace

Answer AdminApi::Handle(TimePoint now, const std::string& method,
                        const std::string& target, const std::string& body,
                        Outbox& out) {
  Call call{.now = now, .method = method};
  call.path = target.substr(0, target.find('?'));
  const bool is_burn = call.path == "/report/burn";
  if (!is_burn && !Strip(call.path, kPrefix)) return Fail(404, "no such path");

  std::string rest = target.find('?') == std::string::npos
                         ? ""
                         : target.substr(target.find('?') + 1);
  while (!rest.empty()) {
    const std::string pair = rest.substr(0, rest.find('&'));
    rest.erase(0, pair.size() + 1);
    const size_t equals = pair.find('=');
    if (equals == std::string::npos) continue;
    call.query[pair.substr(0, equals)] = pair.substr(equals + 1);
  }
  if (method == "POST") {
    call.body = ParseBoundedJson(body);
    if (!call.body.is_object()) {
      return Fail(400, "the body is not a JSON object");
    }
  }
  return is_burn ? this->ShowBurn(call, out) : this->Route(call, out);
}

Answer AdminApi::Route(const Call& call, Outbox& out) {
  std::string rest = call.path;
  if (call.method == "POST") {
    if (rest == "edits") return this->PostEdit(call, out);
    if (rest == "edits/canonical") return this->CanonicalForm(call);
    if (rest == "idempotency-keys") return this->PostKey(call);
    if (rest == "log/give-up-gap") return this->PostGiveUpGap(call);
    if (Strip(rest, "budget/") && rest.ends_with("/top-ups")) {
      return this->PostTopUp(call, rest.substr(0, rest.rfind('/')), out);
    }
    rest = call.path;
    if (Strip(rest, "shards/") && rest.ends_with("/reopen")) {
      return this->PostReopen(call, rest.substr(0, rest.rfind('/')), out);
    }
    return Fail(404, "no such path");
  }
  if (rest == "catalogue") return this->ListCatalogue();
  if (rest == "history") return this->ShowHistory(call);
  if (rest == "handover") return this->ShowHandover(call);
  if (rest == "budget") return this->ShowBudgets(call, "");
  if (rest == "fleet") return this->ShowFleet(call);
  if (rest == "upstreams") return this->ShowUpstreams();
  if (rest == "requests/lost") return this->ShowLost(call);
  if (Strip(rest, "catalogue/")) return this->ShowEntry(rest);
  if (Strip(rest, "edits/")) return this->ShowVerdict(rest);
  if (Strip(rest, "budget/")) {
    const size_t mark = rest.find("/top-ups/");
    if (mark == std::string::npos) return this->ShowBudgets(call, rest);
    return this->ShowTopUp(rest.substr(0, mark), rest.substr(mark + 9));
  }
  return Fail(404, "no such path");
}

Answer AdminApi::ListCatalogue() const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [key, row] : this->parts.catalogue.Rows()) {
    list.push_back(RowJson(key, row));
  }
  return Ok(list);
}

Answer AdminApi::ShowEntry(std::string_view key) const {
  const auto* row = this->parts.catalogue.Find(key);
  if (row == nullptr) return Fail(404, "no such entry");
  return Ok(RowJson(std::string(key), *row));
}

std::optional<Answer> AdminApi::RefuseIfCutOff() const {
  if (this->parts.membership.IsLogReachable()) return std::nullopt;
  return Fail(503,
              "the platform's log cannot be reached; nothing was changed, try "
              "again later or through another daemon");
}

Answer AdminApi::PostEdit(const Call& call, Outbox& out) {
  if (auto refusal = this->RefuseIfCutOff()) return *refusal;
  EntryJson json;
  const auto edit = json.ParseEdit(call.body);
  if (!edit) return Fail(400, json.LastReason().ToString());
  if (const auto reason = catalogue::CheckEdit(*edit)) {
    return Fail(400, reason->ToString());
  }
  *out.AddRecord().mutable_catalogue_edit() = *edit;
  this->pending_edits.insert(edit->edit_id());
  return Json(202, {{"edit_id", edit->edit_id()}});
}

Answer AdminApi::CanonicalForm(const Call& call) const {
  EntryJson json;
  const auto edit = json.ParseEdit(call.body);
  if (!edit) return Fail(400, json.LastReason().ToString());
  return Ok({{"canonical", ToHex(catalogue::CanonicalEdit(*edit))}});
}

Answer AdminApi::ShowVerdict(const std::string& edit_id) const {
  const auto verdict = this->parts.catalogue.VerdictOf(edit_id);
  if (!verdict) return Ok({{"state", "pending"}});
  this->pending_edits.erase(edit_id);
  nlohmann::json answer = {
      {"state",
       verdict->verdict == Verdict::kAccepted ? "accepted" : "rejected"},
      {"revision", verdict->revision},
      {"reason", verdict->text}};
  if (verdict->verdict == Verdict::kAccepted) return Ok(answer);

  for (const auto* change : this->parts.catalogue.HistoryOf("")) {
    if (change->edit().edit_id() != edit_id) continue;
    const std::string& key = change->edit().key();
    const auto* row = this->parts.catalogue.Find(key);
    if (row != nullptr && row->revision != change->edit().base_revision()) {
      answer["other"] = RowJson(key, *row);
    }
    if (const auto merge = this->parts.catalogue.ProposeMerge(change->edit())) {
      answer["merge"] = EntryJson::Write(merge->entry());
    }
  }
  return Ok(answer);
}

Answer AdminApi::ShowHistory(const Call& call) const {
  const auto key = call.query.find("key");
  nlohmann::json list = nlohmann::json::array();
  for (const auto* change : this->parts.catalogue.HistoryOf(
           key == call.query.end() ? "" : key->second)) {
    list.push_back(ChangeJson(*change));
  }
  return Ok(list);
}

Answer AdminApi::ShowHandover(const Call& call) const {
  const auto since = Number<int64_t>(call.query, "since_ms", 0);
  const auto report = this->parts.catalogue.HandoverReport("", since);
  nlohmann::json changes = nlohmann::json::array();
  for (const auto* change : report.accepted) {
    changes.push_back(ChangeJson(*change));
  }
  for (const auto* change : report.rejected) {
    changes.push_back(ChangeJson(*change));
  }

  nlohmann::json low = nlohmann::json::array();
  for (const auto& [name, account] : this->parts.ledger.Accounts()) {
    const Tokens left = account.available + account.open;
    if (static_cast<double>(left.count) <
        kLowShare * static_cast<double>(account.topped_up.count)) {
      low.push_back({{"organisation", name}, {"left", left.count}});
    }
  }
  return Ok({{"changes", changes},
             {"lost_races", report.rejected.size()},
             {"pending_edits", this->pending_edits.size()},
             {"budgets_low", low},
             {"requests_lost", this->parts.shards.LostTotal()}});
}

Answer AdminApi::ShowBudgets(const Call& call,
                             std::string_view organisation) const {
  nlohmann::json accounts = nlohmann::json::array();
  for (const auto& [name, account] : this->parts.ledger.Accounts()) {
    if (!organisation.empty() && name != organisation) continue;
    nlohmann::json grants = nlohmann::json::array();
    for (const auto& [id, grant] : account.grants) {
      grants.push_back(GrantJson(grant));
    }
    const auto figures = this->parts.escrow.Figures(name);
    accounts.push_back({{"organisation", name},
                        {"topped_up", account.topped_up.count},
                        {"available", account.available.count},
                        {"granted", account.open.count},
                        {"billed", account.billed.count},
                        {"written_off", account.written_off.count},
                        {"overrun", account.overrun.count},
                        {"reserved_here", figures.reserved.count},
                        {"unconfirmed_here", figures.unconfirmed.count},
                        {"room_here", figures.room.count},
                        {"grants", grants}});
  }
  if (!organisation.empty() && accounts.empty()) {
    return Fail(404, "no budget was ever topped up for this organisation");
  }
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.now - this->parts.last_read);
  return Ok({{"accounts", accounts}, {"age_ms", age.count()}});
}

Answer AdminApi::PostTopUp(const Call& call, const std::string& organisation,
                           Outbox& out) {
  if (auto refusal = this->RefuseIfCutOff()) return *refusal;
  if (this->parts.catalogue.FindOrganisation(organisation) == nullptr) {
    return Fail(404, "the catalogue has no organisation " + organisation);
  }
  pb::TopUp top_up;
  top_up.set_organisation(organisation);
  top_up.set_tokens(Integer(call.body, "tokens"));
  top_up.set_top_up_id(Text(call.body, "top_up_id"));
  top_up.set_author(Text(call.body, "author"));
  top_up.set_unix_ms(Integer(call.body, "unix_ms"));
  if (top_up.tokens() <= 0) return Fail(400, "tokens must be above 0");
  if (top_up.top_up_id().empty()) return Fail(400, "top_up_id is missing");
  if (top_up.author().empty()) return Fail(400, "author is missing");
  *out.AddRecord().mutable_top_up() = top_up;
  return Json(202, {{"top_up_id", top_up.top_up_id()}});
}

Answer AdminApi::ShowTopUp(const std::string& organisation,
                           const std::string& top_up_id) const {
  const auto* account = this->parts.ledger.Find(organisation);
  const bool folded =
      account != nullptr && account->top_up_ids.contains(top_up_id);
  return Ok({{"top_up_id", top_up_id}, {"folded", folded}});
}

Answer AdminApi::ShowFleet(const Call& call) const {
  nlohmann::json daemons = nlohmann::json::array();
  const VmInfo& self = this->parts.membership.Self();
  daemons.push_back({{"vm", self.ref.vm},
                     {"availability_zone", self.availability_zone},
                     {"incarnation", self.ref.incarnation},
                     {"state", this->parts.draining ? "draining" : "self"},
                     {"silent_ms", 0}});
  for (const auto& peer : this->parts.membership.Peers(call.now)) {
    const bool alive =
        peer.heard &&
        peer.silent.count() / 1000 <
            this->parts.options.settings.peer().suspect_after_ms();
    const char* state = !peer.heard            ? "never heard"
                        : !alive               ? "silent"
                        : peer.last.draining() ? "draining"
                                               : "alive";
    nlohmann::json row = {{"vm", peer.info.ref.vm},
                          {"availability_zone", peer.info.availability_zone},
                          {"incarnation", peer.info.ref.incarnation},
                          {"state", state},
                          {"silent_ms", nullptr}};
    if (peer.heard) row["silent_ms"] = peer.silent.count() / 1000;
    daemons.push_back(std::move(row));
  }
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.now - this->parts.last_read);
  return Ok({{"daemons", daemons},
             {"log_offset", this->parts.replica.FoldedOffset()},
             {"log_reachable", this->parts.membership.IsLogReachable()},
             {"catalogue_revision", this->parts.catalogue.Revision()},
             {"age_ms", age.count()},
             {"alarms", this->parts.alarms}});
}

Answer AdminApi::ShowUpstreams() const {
  nlohmann::json list = nlohmann::json::array();
  const auto& table = this->parts.upstreams;
  for (upstream::UpstreamIndex i = 0; i < table.Slots(); ++i) {
    const auto& state = table.At(i);
    if (!state.present) continue;
    const char* text = state.leaving != 0 ? "leaving"
                       : state.ejected    ? "ejected"
                       : state.reachable  ? "in service"
                                          : "unreachable";
    list.push_back({{"upstream", state.name},
                    {"availability_zone", table.ZoneName(state.zone)},
                    {"state", text},
                    {"models", state.models},
                    {"service", state.service},
                    {"running", state.running},
                    {"queued", state.queued},
                    {"in_flight_here", state.in_flight},
                    {"tokens_per_second", state.tokens_per_second}});
  }
  return Ok(list);
}

Answer AdminApi::ShowLost(const Call& call) const {
  const auto wanted = call.query.find("organisation");
  nlohmann::json list = nlohmann::json::array();
  for (const auto& lost : this->parts.shards.LostRequests()) {
    if (wanted != call.query.end() && lost.organisation() != wanted->second) {
      continue;
    }
    list.push_back({{"organisation", lost.organisation()},
                    {"request_id", lost.request_id()},
                    {"key_digest", lost.key_digest()},
                    {"work_class", pb::WorkClass_Name(lost.work_class())},
                    {"step", lost.step()},
                    {"unix_ms", lost.unix_ms()}});
  }
  return Ok(list);
}

Answer AdminApi::PostReopen(const Call& call, const std::string& shard,
                            Outbox& out) {
  if (auto refusal = this->RefuseIfCutOff()) return *refusal;
  uint32_t number = 0;
  const auto parsed =
      std::from_chars(shard.data(), shard.data() + shard.size(), number);
  if (parsed.ec != std::errc() || number >= this->parts.shards.Size()) {
    return Fail(404, "no such shard");
  }
  if (Text(call.body, "author").empty()) return Fail(400, "author is missing");
  pb::ShardReopen& reopen = *out.AddRecord().mutable_shard_reopen();
  reopen.set_shard(number);
  reopen.set_author(Text(call.body, "author"));
  reopen.set_reason(Text(call.body, "reason"));
  return Json(202, {{"shard", number}});
}

Answer AdminApi::ShowBurn(const Call& call, Outbox& out) {
  // The answer holds the figures at hand; those of the peers are asked for now
  // and belong to the next answer.
  this->parts.burn.AskPeers(call.now, out);
  const auto found = call.query.find("format");
  const std::string format = found == call.query.end() ? "text" : found->second;
  std::vector<std::string> expected = {this->parts.options.self.ref.vm};
  for (const VmInfo& peer : this->parts.options.configured_peers) {
    expected.push_back(peer.ref.vm);
  }
  Answer answer;
  answer.json = this->parts.burn.Render(call.now, format, expected);
  answer.content_type = format == "html"   ? "text/html; charset=utf-8"
                        : format == "json" ? "application/json"
                                           : "text/plain; charset=utf-8";
  return answer;
}

Answer AdminApi::PostGiveUpGap(const Call& call) {
  if (Text(call.body, "author").empty()) return Fail(400, "author is missing");
  if (!this->parts.log.GiveUpGap(call.now)) {
    return Fail(409, "no records are missing");
  }
  return Ok({{"next_offset", this->parts.replica.FoldedOffset()}});
}

Answer AdminApi::PostKey(const Call& call) {
  // The front door passes the caller's key on; operators need none.
  if (call.body.contains("bearer") &&
      !this->parts.catalogue.OrganisationOfKey(Text(call.body, "bearer"))) {
    return Fail(401, "the caller key is not known");
  }
  const auto key = this->parts.claims.IssueKey();
  if (!key) return Fail(503, "no shard has a home yet");
  return Ok({{"key", *key}});
}

}  // namespace fuchsiadrum::node
