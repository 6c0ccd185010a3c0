#pragma once

#include <cstdint>

namespace fuchsiadrum::soak {

/// Hands out free ports of the loopback interface below those that the system
/// gives to outgoing connections, so that they stay free while a gateway is
/// down.
class PortRange {
 public:
  PortRange();
  uint16_t Take();

 private:
  uint16_t next = 0;
};

}  // namespace fuchsiadrum::soak
