#pragma once

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <thread>

#include "gateway/asio.h"

namespace fuchsiadrum::gateway {

/// Options of a gateway that runs as a process of its own.
struct GatewayProcessOptions {
  std::string store_address;
  double grace_s = 8;
  /// Memory of the VM in megabytes; 0: unknown.
  int memory_mb = 0;
  /// Lines of the section [bounds].
  std::string bounds;
  /// Limit of the process's open descriptors; 0: that of the test.
  int descriptors = 0;
  /// Rate of the VM's link; 0: unknown.
  double link_mbps = 0;
};

/// fuchsiadrum-gateway as a child process with settings of its own. It is
/// killed at the latest when the object is destroyed.
class GatewayProcess {
 public:
  explicit GatewayProcess(const GatewayProcessOptions& options)
      : callers_port(FreePort()),
        readiness_port(FreePort()),
        metrics_port(FreePort()) {
    std::string name =
        (std::filesystem::temp_directory_path() / "gateway-XXXXXX").string();
    this->folder = ::mkdtemp(name.data());
    const std::string settings = this->folder + "/gateway.ini";
    std::ofstream(settings)
        << "[vm]\nname = vm-1\navailability_zone = a\nmemory_mb = "
        << options.memory_mb << "\nlink_mbps = " << options.link_mbps << "\n"
        << "[listen]\ncallers = " << Local(this->callers_port)
        << "\nreadiness = " << Local(this->readiness_port)
        << "\nmetrics = " << Local(this->metrics_port)
        << "\n[store]\naddress = " << options.store_address
        << "\n[stop]\ngrace_s = " << options.grace_s << "\n[bounds]\n"
        << options.bounds;

    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null",
                                       O_WRONLY, 0);
    // The shell sets the limit of descriptors and is replaced by the program.
    std::string program = "/bin/sh";
    std::string option = "-c";
    std::string command =
        (options.descriptors > 0
             ? "ulimit -n " + std::to_string(options.descriptors) + " && "
             : "") +
        "exec '" + FUCHSIADRUM_GATEWAY_PROGRAM + "' --config '" + settings +
        "'";
    std::array<char*, 4> arguments = {program.data(), option.data(),
                                      command.data(), nullptr};
    if (::posix_spawn(&this->pid, program.c_str(), &actions, nullptr,
                      arguments.data(), environ) != 0) {
      this->pid = -1;
    }
    ::posix_spawn_file_actions_destroy(&actions);
  }
  ~GatewayProcess() {
    if (this->pid > 0) {
      ::kill(this->pid, SIGKILL);
      ::waitpid(this->pid, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  uint16_t CallersPort() const { return this->callers_port; }
  uint16_t ReadinessPort() const { return this->readiness_port; }
  uint16_t MetricsPort() const { return this->metrics_port; }
  /// The most memory that the process has had; 0: not known.
  size_t PeakMemoryBytes() const {
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    const std::string name = "VmHWM:";
    std::string line;
    while (std::getline(status, line)) {
      if (line.starts_with(name)) {
        return std::stoul(line.substr(name.size())) * size_t{1024};
      }
    }
    return 0;
  }
  /// Number of descriptors that the process has open.
  size_t OpenDescriptors() const {
    std::error_code error;
    const std::filesystem::directory_iterator all(
        "/proc/" + std::to_string(this->pid) + "/fd", error);
    return static_cast<size_t>(
        std::distance(begin(all), std::filesystem::directory_iterator()));
  }
  void Signal(int signal) const {
    if (this->pid > 0) ::kill(this->pid, signal);
  }
  /// Waits until the process has ended. Returns its wait status, or nullopt if
  /// it still runs after `timeout`.
  std::optional<int> AwaitEnd(std::chrono::milliseconds timeout) {
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (this->pid > 0) {
      int status = 0;
      if (::waitpid(this->pid, &status, WNOHANG) == this->pid) {
        this->pid = -1;
        return status;
      }
      if (std::chrono::steady_clock::now() > end) break;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return std::nullopt;
  }

 private:
  static std::string Local(uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
  }
  static uint16_t FreePort() {
    asio::io_context context;
    const Tcp::acceptor acceptor(context,
                                 {asio::ip::address_v4::loopback(), 0});
    return acceptor.local_endpoint().port();
  }

  uint16_t callers_port;
  uint16_t readiness_port;
  uint16_t metrics_port;
  std::string folder;
  pid_t pid = -1;
};

}  // namespace fuchsiadrum::gateway
