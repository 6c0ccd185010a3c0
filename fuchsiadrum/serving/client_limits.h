#pragma once

#include <cstddef>

namespace fuchsiadrum::serving {

/// What a process has for its clients.
struct ClientResources {
  /// Memory of the process in bytes; 0: not known, and no limit on bytes.
  size_t memory_bytes = 0;
  /// Descriptors that the process may have open; 0: not known, and no limit on
  /// connections.
  size_t descriptors = 0;
};

/// Limits on what the clients of a process make it hold together. 0: no limit.
struct ClientLimits {
  /// Bytes of connections, requests, tasks and answers.
  size_t total_bytes = 0;
  /// The part of `total_bytes` that may be in use for a request to get more of
  /// it. The rest is left to answers that are ready.
  size_t request_bytes = 0;
  /// The same for requests that hold more than kLargeRequestBytes, so that they
  /// cannot keep out ordinary ones.
  size_t large_request_bytes = 0;
  /// Connections of callers.
  size_t connections = 0;
  /// Connections to upstreams that are open and not in use.
  size_t idle_upstreams = 0;
  /// Connections of each address that serves pages.
  size_t page_connections = 0;
  /// Fields of a request's head. Ordinary heads have a few dozen.
  size_t header_fields = 256;

  /// Requests of ordinary size are a few kilobytes.
  static constexpr size_t kLargeRequestBytes = 65536;

  /// The limits that keep a process within its resources.
  static ClientLimits For(const ClientResources& resources);
  /// Sets the limits on bytes from that of the total.
  void SetTotal(size_t bytes);
  /// The bytes of the total that may be in use when a request holds `bytes`.
  size_t BoundFor(size_t bytes) const {
    return bytes > kLargeRequestBytes ? this->large_request_bytes
                                      : this->request_bytes;
  }
};

}  // namespace fuchsiadrum::serving
