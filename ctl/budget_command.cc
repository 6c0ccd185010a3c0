#include "ctl/budget_command.h"

#include <chrono>
#include <thread>

namespace fuchsiadrum::ctl {
namespace {

constexpr std::chrono::milliseconds kPoll(50);

}  // namespace

BudgetCommand::BudgetCommand(CLI::App& app, const GlobalOptions& globals)
    : Command(app, globals) {
  CLI::App* group = app.add_subcommand("budget", "prepaid budgets");
  group->require_subcommand(1);
  this->show = group->add_subcommand("show", "accounts and grants");
  this->show->add_option("organisation", this->organisation, "all if left out");
  this->top_up = group->add_subcommand("top-up", "add prepaid tokens");
  this->top_up->add_option("organisation", this->organisation)->required();
  this->top_up->add_option("tokens", this->tokens)
      ->required()
      ->check(CLI::PositiveNumber);
  this->top_up->add_option(
      "--id", this->top_up_id,
      "idempotency id; a repetition with the same id adds nothing");
  this->top_up->add_option("--wait-ms", this->wait_ms);
}

std::optional<ExitCode> BudgetCommand::Run() {
  if (this->show->parsed()) return this->Show();
  if (this->top_up->parsed()) return this->TopUp();
  return std::nullopt;
}

ExitCode BudgetCommand::Show() {
  ExitCode failure = ExitCode::kOk;
  const auto body = this->Fetch(
      "/admin/budget" +
          (this->organisation.empty() ? "" : "/" + this->organisation),
      failure);
  if (!body) return failure;
  this->Out().Json(*body);

  std::vector<std::vector<std::string>> rows = {
      {"ORGANISATION", "TOPPED UP", "AVAILABLE", "GRANTED", "RESERVED",
       "BILLED", "WRITTEN OFF", "OPERATOR'S COST"}};
  const auto& accounts = body->at("accounts");
  for (const auto& a : accounts) {
    rows.push_back({Plain(a["organisation"]), Plain(a["topped_up"]),
                    Plain(a["available"]), Plain(a["granted"]),
                    Plain(a["reserved_here"]), Plain(a["billed"]),
                    Plain(a["written_off"]), Plain(a["overrun"])});
  }
  this->Out().Table(rows);

  std::vector<std::vector<std::string>> grants = {
      {"GRANT", "ORGANISATION", "HOLDER", "AMOUNT", "SPENT", "STATE"}};
  for (const auto& a : accounts) {
    for (const auto& g : a.value("grants", nlohmann::json::array())) {
      grants.push_back({Plain(g["grant"]), Plain(a["organisation"]),
                        Plain(g["holder"]), Plain(g["amount"]),
                        Plain(g["spent"]), Plain(g["state"])});
    }
  }
  if (grants.size() > 1) this->Out().Table(grants);
  this->Out().Line("age of this view: " + Plain((*body)["age_ms"]) + " ms");
  return ExitCode::kOk;
}

ExitCode BudgetCommand::TopUp() {
  if (this->globals.author.empty()) {
    Output::Error("a top-up needs --author");
    return ExitCode::kUsage;
  }
  if (this->top_up_id.empty()) this->top_up_id = RandomId();
  const std::string target = "/admin/budget/" + this->organisation + "/top-ups";
  ExitCode failure = ExitCode::kOk;
  if (!this->Send(target,
                  {{"tokens", this->tokens},
                   {"top_up_id", this->top_up_id},
                   {"author", this->globals.author},
                   {"unix_ms", NowMs()}},
                  failure)) {
    return failure;
  }

  // The top-up counts once it is read back from the log.
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(this->wait_ms);
  while (std::chrono::steady_clock::now() < end) {
    const auto state = this->Fetch(target + "/" + this->top_up_id, failure);
    if (!state) return failure;
    if (state->value("folded", false)) {
      this->Out().Json(*state);
      this->Out().Line("top-up " + this->top_up_id + " is in force");
      return ExitCode::kOk;
    }
    std::this_thread::sleep_for(kPoll);
  }
  Output::Error("not in force yet; repeat with --id " + this->top_up_id);
  return ExitCode::kFailed;
}

}  // namespace fuchsiadrum::ctl
