#include "ctl/fleet_command.h"

#include <chrono>
#include <fstream>
#include <thread>

namespace fuchsiadrum::ctl {
namespace {

constexpr std::chrono::milliseconds kPeersAnswer(300);
constexpr double kMsPerHour = 3600.0 * 1000.0;

using Rows = std::vector<std::vector<std::string>>;

}  // namespace

FleetCommand::FleetCommand(CLI::App& app, const GlobalOptions& globals)
    : Command(app, globals) {
  CLI::App* fleet = app.add_subcommand("fleet", "the daemons");
  fleet->require_subcommand(1);
  this->status =
      fleet->add_subcommand("status", "daemons as this one sees them");

  CLI::App* report = app.add_subcommand("report", "reports");
  report->require_subcommand(1);
  this->burn = report->add_subcommand("burn", "service-level burn");
  this->burn->add_option("--html", this->html_file, "write the page to a file");

  CLI::App* requests = app.add_subcommand("requests", "requests");
  requests->require_subcommand(1);
  this->lost =
      requests->add_subcommand("lost", "requests without a known outcome");
  this->lost->add_option("--organisation", this->organisation);

  CLI::App* shards = app.add_subcommand("shard", "shards of the key table");
  shards->require_subcommand(1);
  this->reopen = shards->add_subcommand(
      "reopen", "declare that no call of a lost term is retried any more");
  this->reopen->add_option("shard", this->shard)->required();
  this->reopen->add_option("--reason", this->reason)->required();

  CLI::App* log = app.add_subcommand("log", "the platform's log");
  log->require_subcommand(1);
  this->give_up_gap = log->add_subcommand(
      "give-up-gap",
      "go on although records were lost before any daemon read them");

  this->handover = app.add_subcommand(
      "handover",
      "what the next shift has to know: changes, lost races, "
      "budgets low, requests lost");
  this->handover->add_option("--hours", this->hours, "length of the shift");
}

std::optional<ExitCode> FleetCommand::Run() {
  if (this->status->parsed()) return this->Status();
  if (this->burn->parsed()) return this->Burn();
  if (this->lost->parsed()) return this->Lost();
  if (this->reopen->parsed()) return this->Reopen();
  if (this->give_up_gap->parsed()) return this->GiveUpGap();
  if (this->handover->parsed()) return this->Handover();
  return std::nullopt;
}

ExitCode FleetCommand::Status() {
  ExitCode failure = ExitCode::kOk;
  const auto body = this->Fetch("/admin/fleet", failure);
  if (!body) return failure;
  this->Out().Json(*body);
  Rows rows = {{"VM", "ZONE", "INCARNATION", "STATE", "SILENT MS"}};
  for (const auto& d : body->at("daemons")) {
    rows.push_back({Plain(d["vm"]), Plain(d["availability_zone"]),
                    Plain(d["incarnation"]), Plain(d["state"]),
                    Plain(d["silent_ms"])});
  }
  this->Out().Table(rows);
  this->Out().Line("log: next offset " + Plain((*body)["log_offset"]) +
                   ", last read " + Plain((*body)["age_ms"]) + " ms ago");
  for (const auto& alarm : body->value("alarms", nlohmann::json::array())) {
    this->Out().Line("alarm: " + Plain(alarm));
  }
  return ExitCode::kOk;
}

ExitCode FleetCommand::Burn() {
  AdminClient client = this->Client();
  const std::string format = !this->html_file.empty() ? "html"
                             : this->globals.json     ? "json"
                                                      : "text";
  // The first answer makes the daemon ask its peers; the second one has their
  // figures.
  const std::string target = "/report/burn?format=" + format;
  client.Get(target);
  std::this_thread::sleep_for(kPeersAnswer);
  const auto response = client.Get(target);
  if (!response) {
    Output::Error(client.LastReason().ToString());
    return ExitCode::kUnreachable;
  }
  if (response->status != 200) {
    Output::Error(response->body);
    return ExitCode::kFailed;
  }
  if (!this->html_file.empty()) {
    std::ofstream(this->html_file) << response->body;
    this->Out().Line("written to " + this->html_file);
  } else if (this->globals.json) {
    this->Out().Json(response->Json());
  } else {
    this->Out().Line(response->body);
  }
  return ExitCode::kOk;
}

ExitCode FleetCommand::Lost() {
  ExitCode failure = ExitCode::kOk;
  const auto body = this->Fetch(
      "/admin/requests/lost" + (this->organisation.empty()
                                    ? ""
                                    : "?organisation=" + this->organisation),
      failure);
  if (!body) return failure;
  this->Out().Json(*body);
  Rows rows = {{"TIME", "ORGANISATION", "CLASS", "REQUEST", "STEP"}};
  for (const auto& r : *body) {
    rows.push_back({FormatTime(r.value("unix_ms", int64_t{0})),
                    Plain(r["organisation"]), Plain(r["work_class"]),
                    Plain(r["request_id"]), Plain(r["step"])});
  }
  this->Out().Table(rows);
  return ExitCode::kOk;
}

ExitCode FleetCommand::Reopen() {
  if (this->globals.author.empty()) {
    Output::Error("reopening a shard needs --author");
    return ExitCode::kUsage;
  }
  ExitCode failure = ExitCode::kOk;
  const auto body = this->Send(
      "/admin/shards/" + std::to_string(this->shard) + "/reopen",
      {{"author", this->globals.author}, {"reason", this->reason}}, failure);
  if (!body) return failure;
  this->Out().Json(*body);
  this->Out().Line("shard " + std::to_string(this->shard) +
                   " is being reopened");
  return ExitCode::kOk;
}

ExitCode FleetCommand::GiveUpGap() {
  if (this->globals.author.empty()) {
    Output::Error("giving up records needs --author");
    return ExitCode::kUsage;
  }
  ExitCode failure = ExitCode::kOk;
  const auto body = this->Send("/admin/log/give-up-gap",
                               {{"author", this->globals.author}}, failure);
  if (!body) return failure;
  this->Out().Json(*body);
  this->Out().Line("goes on at offset " + Plain((*body)["next_offset"]));
  return ExitCode::kOk;
}

ExitCode FleetCommand::Handover() {
  ExitCode failure = ExitCode::kOk;
  const auto since = NowMs() - static_cast<int64_t>(this->hours * kMsPerHour);
  const auto body =
      this->Fetch("/admin/handover?since_ms=" + std::to_string(since), failure);
  if (!body) return failure;
  this->Out().Json(*body);

  this->Out().Line("changes of the shift");
  Rows rows = {{"TIME", "KEY", "AUTHOR", "VERDICT", "REASON"}};
  for (const auto& c : body->at("changes")) {
    rows.push_back({FormatTime(c.value("unix_ms", int64_t{0})), Plain(c["key"]),
                    Plain(c["author"]), Plain(c["verdict"]),
                    Plain(c["reason"])});
  }
  this->Out().Table(rows);
  this->Out().Line("edits pending: " + Plain((*body)["pending_edits"]));
  this->Out().Line("budgets low: " + body->at("budgets_low").dump());
  this->Out().Line("requests lost: " + Plain((*body)["requests_lost"]));
  return ExitCode::kOk;
}

}  // namespace fuchsiadrum::ctl
