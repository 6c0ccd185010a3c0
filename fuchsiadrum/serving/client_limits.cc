#include "fuchsiadrum/serving/client_limits.h"

#include <algorithm>

namespace fuchsiadrum::serving {
namespace {

/// Clients may hold the memory divided by this: an answer is copied once while
/// it is written, and the code, the fleet's state and the allocator need the
/// rest.
constexpr size_t kMemoryDivisor = 3;
/// The platform reserves this many descriptors for files.
constexpr size_t kFileDescriptors = 200;
/// Descriptors of listeners, timers, the log and the connections to the store.
constexpr size_t kOwnDescriptors = 64;
/// Neither takes more than this part of the descriptors, so that a process with
/// few of them still serves.
constexpr size_t kReserveDivisor = 8;
/// A balancer and a monitoring system have a few connections each.
constexpr size_t kMinPageConnections = 4;
constexpr size_t kMaxPageConnections = 32;
constexpr size_t kPageDivisor = 64;
constexpr size_t kPageAddresses = 2;

}  // namespace

void ClientLimits::SetTotal(size_t bytes) {
  this->total_bytes = bytes;
  this->request_bytes = bytes / 8 * 7;
  this->large_request_bytes = bytes / 4 * 3;
}

ClientLimits ClientLimits::For(const ClientResources& resources) {
  ClientLimits limits;
  limits.SetTotal(resources.memory_bytes / kMemoryDivisor);

  const size_t all = resources.descriptors;
  if (all == 0) return limits;
  const size_t reserve = all / kReserveDivisor;
  limits.page_connections =
      std::clamp(all / kPageDivisor, kMinPageConnections, kMaxPageConnections);
  const size_t kept = std::min(kFileDescriptors, reserve) +
                      std::min(kOwnDescriptors, reserve) +
                      kPageAddresses * limits.page_connections;
  // Each caller that is served needs a connection to an upstream, and there are
  // half as many idle ones.
  const size_t left = all > kept ? all - kept : 0;
  limits.connections = std::max<size_t>(1, left * 2 / 5);
  limits.idle_upstreams = std::max<size_t>(1, left / 5);
  return limits;
}

}  // namespace fuchsiadrum::serving
