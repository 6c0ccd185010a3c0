#pragma once

#include <string>
#include <thread>

#include "daemon/asio.h"

namespace fuchsiadrum::daemon {

/// One thread with its own io_context. It runs until Stop.
class IoThread {
 public:
  explicit IoThread(std::string thread_name);
  ~IoThread();
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

  asio::io_context& Context() { return this->context; }
  /// Starts the thread.
  void Start();
  /// Ends the thread after the handler in progress and joins it.
  void Stop();

 private:
  void Run();

  std::string name;
  asio::io_context context{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard;
  std::thread thread;
};

}  // namespace fuchsiadrum::daemon
