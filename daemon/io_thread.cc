#include "daemon/io_thread.h"

#include <pthread.h>

#include <cstdlib>
#include <exception>

#include "daemon/logging.h"

namespace fuchsiadrum::daemon {

IoThread::IoThread(std::string thread_name)
    : name(std::move(thread_name)),
      guard(asio::make_work_guard(this->context)) {}

IoThread::~IoThread() { this->Stop(); }

void IoThread::Start() {
  this->thread = std::thread([this] { this->Run(); });
  pthread_setname_np(this->thread.native_handle(), this->name.c_str());
}

void IoThread::Stop() {
  this->context.stop();
  if (this->thread.joinable()) this->thread.join();
}

void IoThread::Run() {
  try {
    this->context.run();
  } catch (const std::exception& error) {
    // State after a half-done handler is not to be trusted; a restart gets a
    // new incarnation.
    LogLine("fatal", this->name + ": uncaught exception: " + error.what());
    std::abort();
  }
}

}  // namespace fuchsiadrum::daemon
