#include "soak/gateway_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <fstream>
#include <limits>

#include "gateway/clock.h"
#include "soak/caller_socket.h"

namespace fuchsiadrum::soak {
namespace {

std::string Loopback(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

int SignalOf(ProcessEvent event) {
  switch (event) {
    case ProcessEvent::kStop:
      return SIGTERM;
    case ProcessEvent::kPause:
      return SIGSTOP;
    case ProcessEvent::kResume:
      return SIGCONT;
    case ProcessEvent::kReload:
      return SIGHUP;
    default:
      return SIGKILL;
  }
}

}  // namespace

std::string_view ProcessEventName(ProcessEvent event) {
  static constexpr std::array<std::string_view, 7> kNames = {
      "start", "stop", "kill", "pause", "resume", "reload", "exit"};
  return kNames[static_cast<size_t>(event)];
}

GatewayProcess::GatewayProcess(const GatewayProcessOptions& opts)
    : options(opts) {
  std::ofstream settings(opts.folder + "/" + opts.vm + ".ini");
  settings << "[vm]\nname = " << opts.vm << "\navailability_zone = a\n"
           << "link_mbps = 10000\nmemory_mb = 512\n\n[listen]\ncallers = "
           << Loopback(opts.callers_port)
           << "\nreadiness = " << Loopback(opts.readiness_port)
           << "\nmetrics = " << Loopback(opts.metrics_port)
           << "\n\n[store]\naddress = " << opts.store_address
           << "\n\n[stop]\ngrace_s = " << opts.grace_s << "\n";
}

GatewayProcess::~GatewayProcess() {
  if (this->IsRunning()) this->Signal(ProcessEvent::kKill);
}

bool GatewayProcess::Start() {
  const std::string settings =
      this->options.folder + "/" + this->options.vm + ".ini";
  const std::string log = this->LogFile();
  this->bad_end.clear();
  this->Record(ProcessEvent::kStart);
  this->pid = fork();
  if (this->pid != 0) return this->pid > 0;

  // Only calls that are safe after a fork of a process with threads.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  close_range(STDERR_FILENO + 1, std::numeric_limits<unsigned int>::max(), 0);
  execl(this->options.program.c_str(), this->options.program.c_str(),
        "--config", settings.c_str(), nullptr);
  _exit(127);
}

void GatewayProcess::Signal(ProcessEvent event) {
  if (this->pid <= 0) return;
  this->Record(event);
  kill(this->pid, SignalOf(event));
  if (event != ProcessEvent::kKill) return;
  waitpid(this->pid, nullptr, 0);
  this->pid = -1;
  this->Record(ProcessEvent::kExit);
}

bool GatewayProcess::IsRunning() {
  if (this->pid <= 0) return false;
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) == 0) return true;
  this->pid = -1;
  if (WIFSIGNALED(status)) {
    this->bad_end = "ended by signal " + std::to_string(WTERMSIG(status));
  } else if (WEXITSTATUS(status) != 0) {
    this->bad_end = "ended with status " + std::to_string(WEXITSTATUS(status));
  }
  this->Record(ProcessEvent::kExit);
  return false;
}

bool GatewayProcess::IsReady() const {
  CallerSocket socket;
  const TimePoint deadline = gateway::Now() + std::chrono::milliseconds(200);
  std::string answer;
  return socket.Connect(this->options.readiness_port) &&
         socket.Write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", deadline) &&
         socket.Read(answer, deadline) == ReadStatus::kBytes &&
         answer.starts_with("HTTP/1.1 200");
}

std::vector<std::string> GatewayProcess::LogLinesOf(
    const std::string& id) const {
  std::vector<std::string> lines;
  std::ifstream log(this->LogFile());
  std::string line;
  const std::string quoted = "\"" + id + "\"";
  while (std::getline(log, line)) {
    if (line.find(quoted) != std::string::npos) lines.push_back(line);
  }
  return lines;
}

void GatewayProcess::Record(ProcessEvent event) {
  this->history.push_back({.at = gateway::Now(), .event = event});
}

std::string GatewayProcess::LogFile() const {
  return this->options.folder + "/" + this->options.vm + ".log";
}

}  // namespace fuchsiadrum::soak
