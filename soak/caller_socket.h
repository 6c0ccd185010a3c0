#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::soak {

/// How a read of a CallerSocket ended.
enum class ReadStatus { kBytes, kEnd, kReset, kTimedOut };

/// Connection of a caller to a gateway on the loopback interface, whose calls
/// return in time also if the gateway is stopped.
class CallerSocket {
 public:
  CallerSocket() = default;
  ~CallerSocket() { this->Close(); }
  CallerSocket(const CallerSocket&) = delete;
  CallerSocket& operator=(const CallerSocket&) = delete;

  bool Connect(uint16_t port);
  bool IsOpen() const { return this->descriptor >= 0; }
  /// Returns false if not all bytes could be sent until the deadline.
  bool Write(std::string_view bytes, TimePoint deadline);
  /// Appends what has arrived to `bytes`; waits for it until the deadline.
  ReadStatus Read(std::string& bytes, TimePoint deadline);
  void Close();

 private:
  /// Waits until the socket is ready. Returns false at the deadline.
  bool Wait(int events, TimePoint deadline) const;

  int descriptor = -1;
};

}  // namespace fuchsiadrum::soak
