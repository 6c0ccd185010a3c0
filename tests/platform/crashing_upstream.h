#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "tests/platform/scripted_upstream.h"

namespace fuchsiadrum::gateway {

/// Upstream that ends, with all its connections, when its script or the test
/// says so, and starts again at another address after a while.
class CrashingUpstream {
 public:
  using Script = std::function<void(ScriptedExchange&, CrashingUpstream&)>;
  /// Called with the address and the number of each start.
  using OnStart = std::function<void(const std::string& address, int start)>;

  CrashingUpstream(RunRecord& run_record, Script request_script,
                   OnStart start_handler, std::chrono::milliseconds down)
      : runs(run_record),
        script(std::move(request_script)),
        on_start(std::move(start_handler)),
        down_time(down) {
    this->Start();
    this->supervisor = std::thread([this] { this->Supervise(); });
  }
  ~CrashingUpstream() {
    {
      const std::lock_guard lock(this->mutex);
      this->stopping = true;
    }
    this->changed.notify_all();
    this->supervisor.join();
  }
  CrashingUpstream(const CrashingUpstream&) = delete;
  CrashingUpstream& operator=(const CrashingUpstream&) = delete;

  /// Ends the upstream soon; returns at once. A script must return after it, or
  /// wait for the close of its connection.
  void Crash() {
    {
      const std::lock_guard lock(this->mutex);
      this->crashing = true;
    }
    this->changed.notify_all();
  }
  int Crashes() const { return this->crashes; }

 private:
  void Start() {
    this->server = std::make_unique<ScriptedUpstream>(
        this->runs,
        [this](ScriptedExchange& exchange) { this->script(exchange, *this); });
    this->on_start(this->server->Address(), ++this->starts);
  }
  void Supervise() {
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
      this->changed.wait(lock,
                         [this] { return this->stopping || this->crashing; });
      if (this->stopping) return;
      ++this->crashes;
      lock.unlock();
      this->server.reset();
      lock.lock();
      this->changed.wait_for(lock, this->down_time,
                             [this] { return this->stopping; });
      if (this->stopping) return;
      this->crashing = false;
      this->Start();
    }
  }

  RunRecord& runs;
  Script script;
  OnStart on_start;
  std::chrono::milliseconds down_time;
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  bool crashing = false;
  std::atomic<int> crashes{0};
  int starts = 0;
  std::unique_ptr<ScriptedUpstream> server;
  std::thread supervisor;
};

}  // namespace fuchsiadrum::gateway
