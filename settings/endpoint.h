#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::settings {

/// A TCP address, always numeric: names are never resolved.
struct Endpoint {
  std::string ip;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
  /// "IP:port", with brackets around an IPv6 address.
  std::string ToString() const;
  /// Parses "IP:port" or "[IPv6]:port"; nullopt if it is malformed.
  static std::optional<Endpoint> Parse(const std::string& text);
};

/// Another daemon as the settings name it.
struct PeerAddress {
  VmInfo vm;
  Endpoint endpoint;

  /// Parses "name@zone@IP:port"; nullopt if it is malformed.
  static std::optional<PeerAddress> Parse(const std::string& text);
};

}  // namespace fuchsiadrum::settings
