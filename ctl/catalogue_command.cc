#include "ctl/catalogue_command.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::ctl {
namespace {

constexpr std::chrono::milliseconds kVerdictPoll(50);
constexpr int64_t kNoonMs = 12LL * 3600 * 1000;
constexpr int64_t kDayMs = 24LL * 3600 * 1000;

std::string ReadAll(const std::string& file) {
  if (file == "-") {
    return {std::istreambuf_iterator<char>(std::cin), {}};
  }
  std::ifstream in(file);
  return {std::istreambuf_iterator<char>(in), {}};
}

std::string Trimmed(std::string text) {
  while (!text.empty() &&
         std::isspace(static_cast<unsigned char>(text.back()))) {
    text.pop_back();
  }
  return text;
}

}  // namespace

CatalogueCommand::CatalogueCommand(CLI::App& app, const GlobalOptions& globals)
    : Command(app, globals) {
  CLI::App* group = app.add_subcommand("catalogue", "entries of the catalogue");
  group->require_subcommand(1);
  this->list = group->add_subcommand("list", "all entries");
  this->list->add_option("--kind", this->kind, "for example organisation");
  this->show = group->add_subcommand("show", "one entry");
  this->show->add_option("key", this->key, "kind/name")->required();
  this->history = group->add_subcommand("history", "who changed what, when");
  this->history->add_option("key", this->key, "kind/name; all if left out");

  this->put = group->add_subcommand("put", "add or change an entry");
  this->put->add_option("key", this->key, "kind/name")->required();
  this->put->add_option("--file", this->file, "entry in JSON; - for stdin")
      ->required();
  this->remove = group->add_subcommand("remove", "remove an entry");
  this->remove->add_option("key", this->key, "kind/name")->required();

  CLI::App* upstreams = app.add_subcommand("upstream", "upstreams");
  upstreams->require_subcommand(1);
  this->upstream_list = upstreams->add_subcommand("list", "state of upstreams");
  this->upstream_drain =
      upstreams->add_subcommand("drain", "give an upstream no new work");
  this->upstream_drain->add_option("name", this->key)->required();

  for (CLI::App* edit : {this->put, this->remove}) {
    edit->add_option("--base", this->base_revision,
                     "revision that the edit is based on; 0 for a new entry")
        ->required();
  }
  for (CLI::App* edit : {this->put, this->remove, this->upstream_drain}) {
    edit->add_option("--reason", this->reason, "why")->required();
    edit->add_option("--shift", this->shift, "morning or afternoon");
    edit->add_option("--wait-ms", this->wait_ms,
                     "longest wait for the verdict");
  }

  CLI::App* keys = app.add_subcommand("caller-key", "keys of callers");
  keys->require_subcommand(1);
  this->make_key =
      keys->add_subcommand("make", "print a new key and its catalogue entry");
  this->make_key->add_option("organisation", this->organisation)->required();

  CLI::App* operators = app.add_subcommand("operator-key", "operators' keys");
  operators->require_subcommand(1);
  this->make_operator_key = operators->add_subcommand(
      "make", "write a new private key to a file and print the entry");
  this->make_operator_key->add_option("name", this->operator_name)->required();
  this->make_operator_key->add_option("--out", this->file, "private key file")
      ->required();
  this->make_operator_key->add_option(
      "--owner", this->owners, "owner whose entries may be edited; * for all");
}

std::optional<ExitCode> CatalogueCommand::Run() {
  if (this->list->parsed()) return this->List(this->kind);
  if (this->show->parsed()) return this->Show();
  if (this->put->parsed()) return this->Put();
  if (this->remove->parsed()) return this->Remove();
  if (this->history->parsed()) return this->History();
  if (this->upstream_list->parsed()) return this->ListUpstreams();
  if (this->upstream_drain->parsed()) return this->Drain();
  if (this->make_key->parsed()) return this->MakeCallerKey();
  if (this->make_operator_key->parsed()) return this->MakeOperatorKey();
  return std::nullopt;
}

ExitCode CatalogueCommand::ListUpstreams() {
  ExitCode failure = ExitCode::kOk;
  const auto body = this->Fetch("/admin/upstreams", failure);
  if (!body) return failure;
  this->Out().Json(*body);
  std::vector<std::vector<std::string>> rows = {
      {"UPSTREAM", "ZONE", "STATE", "RUNNING", "QUEUED", "TOKENS/S"}};
  for (const auto& u : *body) {
    rows.push_back({Plain(u["upstream"]), Plain(u["availability_zone"]),
                    Plain(u["state"]), Plain(u["running"]), Plain(u["queued"]),
                    Plain(u["tokens_per_second"])});
  }
  this->Out().Table(rows);
  return ExitCode::kOk;
}

ExitCode CatalogueCommand::List(const std::string& kind) {
  ExitCode failure = ExitCode::kOk;
  const auto body = this->Fetch("/admin/catalogue", failure);
  if (!body) return failure;

  nlohmann::json kept = nlohmann::json::array();
  std::vector<std::vector<std::string>> rows = {
      {"KEY", "REVISION", "OWNER", "AUTHOR", "CHANGED"}};
  for (const auto& item : *body) {
    const std::string item_key = item.at("key");
    if (!kind.empty() && !item_key.starts_with(kind + "/")) continue;
    kept.push_back(item);
    rows.push_back({item_key, Plain(item["revision"]),
                    item["entry"].value("owner", ""), Plain(item["author"]),
                    FormatTime(item.value("unix_ms", int64_t{0}))});
  }
  this->Out().Json(kept);
  this->Out().Table(rows);
  return ExitCode::kOk;
}

ExitCode CatalogueCommand::Show() {
  ExitCode failure = ExitCode::kOk;
  const auto body = this->Fetch("/admin/catalogue/" + this->key, failure);
  if (!body) return failure;
  this->Out().Json(*body);
  this->Out().Line(body->dump(2));
  return ExitCode::kOk;
}

ExitCode CatalogueCommand::Put() {
  const auto entry = nlohmann::json::parse(ReadAll(this->file), nullptr, false);
  if (!entry.is_object()) {
    Output::Error("the entry in " + this->file + " is not a JSON object");
    return ExitCode::kUsage;
  }
  return this->Edit(this->key, entry, this->base_revision);
}

ExitCode CatalogueCommand::Remove() {
  return this->Edit(this->key, nullptr, this->base_revision);
}

ExitCode CatalogueCommand::History() {
  ExitCode failure = ExitCode::kOk;
  const auto body = this->Fetch(
      "/admin/history" + (this->key.empty() ? "" : "?key=" + this->key),
      failure);
  if (!body) return failure;
  this->Out().Json(*body);
  std::vector<std::vector<std::string>> rows = {
      {"TIME", "KEY", "AUTHOR", "SHIFT", "VERDICT", "REASON"}};
  for (const auto& change : *body) {
    rows.push_back({FormatTime(change.value("unix_ms", int64_t{0})),
                    Plain(change["key"]), Plain(change["author"]),
                    Plain(change["shift"]), Plain(change["verdict"]),
                    Plain(change["reason"])});
  }
  this->Out().Table(rows);
  return ExitCode::kOk;
}

ExitCode CatalogueCommand::Drain() {
  const std::string entry_key = "upstream/" + this->key;
  ExitCode failure = ExitCode::kOk;
  const auto current = this->Fetch("/admin/catalogue/" + entry_key, failure);
  if (!current) return failure;
  nlohmann::json entry = current->at("entry");
  entry["upstream"]["draining"] = true;
  return this->Edit(entry_key, entry, current->value("revision", uint64_t{0}));
}

ExitCode CatalogueCommand::MakeCallerKey() {
  const std::string secret = this->organisation + "." + RandomId();
  const std::string salt = FromHex(RandomId());
  const std::string digest = Hmac(salt, secret);
  // The JSON form of bytes fields is base64; the daemon converts hex.
  const nlohmann::json entry = {{"name", this->organisation},
                                {"owner", "operators"},
                                {"callerKey",
                                 {{"organisation", this->organisation},
                                  {"saltHex", ToHex(salt)},
                                  {"digestHex", ToHex(digest)}}}};
  this->Out().Json({{"key", secret}, {"entry", entry}});
  this->Out().Line("key:   " + secret + "   (shown once)");
  this->Out().Line("entry: " + entry.dump());
  return ExitCode::kOk;
}

ExitCode CatalogueCommand::MakeOperatorKey() {
  const std::string secret = FromHex(RandomId() + RandomId());
  std::ofstream(this->file) << ToHex(secret) << "\n";
  std::filesystem::permissions(
      this->file,
      std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
  nlohmann::json entry = {{"name", this->operator_name},
                          {"owner", "operators"}};
  entry["operator"] = {{"publicKeyHex", ToHex(PublicKeyEd25519(secret))},
                       {"owners", nlohmann::json::array({this->owners})}};
  this->Out().Json({{"entry", entry}});
  this->Out().Line(entry.dump());
  return ExitCode::kOk;
}

ExitCode CatalogueCommand::Edit(const std::string& key,
                                const nlohmann::json& entry,
                                uint64_t base_revision) {
  if (this->globals.author.empty()) {
    Output::Error("an edit needs --author");
    return ExitCode::kUsage;
  }
  const int64_t now = NowMs();
  nlohmann::json edit = {{"key", key},
                         {"entry", entry},
                         {"base_revision", base_revision},
                         {"author", this->globals.author},
                         {"reason", this->reason},
                         {"unix_ms", now},
                         {"edit_id", RandomId()}};
  edit["shift"] = !this->shift.empty()     ? this->shift
                  : now % kDayMs < kNoonMs ? "morning"
                                           : "afternoon";
  ExitCode failure = ExitCode::kOk;
  const std::string signature = this->Sign(edit, failure);
  if (failure != ExitCode::kOk) return failure;
  edit["signature"] = signature;

  if (!this->Send("/admin/edits", edit, failure)) return failure;
  return this->AwaitVerdict(edit["edit_id"]);
}

std::string CatalogueCommand::Sign(const nlohmann::json& edit,
                                   ExitCode& failure) const {
  if (this->globals.key_file.empty()) return {};
  const std::string key = FromHex(Trimmed(ReadAll(this->globals.key_file)));
  // The daemon answers with the bytes that it will verify.
  const auto form = this->Send("/admin/edits/canonical", edit, failure);
  if (!form) return {};
  const std::string signature =
      SignEd25519(key, FromHex(form->value("canonical", "")));
  if (signature.empty()) {
    Output::Error("the key in " + this->globals.key_file + " is malformed");
    failure = ExitCode::kUsage;
  }
  return ToHex(signature);
}

ExitCode CatalogueCommand::AwaitVerdict(const std::string& edit_id) {
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(this->wait_ms);
  while (std::chrono::steady_clock::now() < end) {
    ExitCode failure = ExitCode::kOk;
    const auto verdict = this->Fetch("/admin/edits/" + edit_id, failure);
    if (!verdict) return failure;
    if (verdict->value("state", "") != "pending") {
      return this->ShowVerdict(*verdict);
    }
    std::this_thread::sleep_for(kVerdictPoll);
  }
  Output::Error("no verdict yet; ask later for edit " + edit_id);
  return ExitCode::kFailed;
}

ExitCode CatalogueCommand::ShowVerdict(const nlohmann::json& verdict) {
  this->Out().Json(verdict);
  const std::string state = verdict.value("state", "");
  if (state == "accepted") {
    this->Out().Line("accepted as revision " + Plain(verdict["revision"]));
    return ExitCode::kOk;
  }
  Output::Error("rejected: " + verdict.value("reason", state));
  if (!verdict.contains("other") || verdict["other"].is_null()) {
    return ExitCode::kFailed;
  }
  const auto& other = verdict["other"];
  this->Out().Line("in force: revision " + Plain(other["revision"]) + " by " +
                   Plain(other["author"]) + " at " +
                   FormatTime(other.value("unix_ms", int64_t{0})));
  this->Out().Line(other["entry"].dump(2));
  if (verdict.contains("merge") && !verdict["merge"].is_null()) {
    this->Out().Line("both changes merged, to put on that revision:");
    this->Out().Line(verdict["merge"].dump(2));
  }
  return ExitCode::kConflict;
}

}  // namespace fuchsiadrum::ctl
