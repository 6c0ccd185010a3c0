#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

#include "schema/record.pb.h"

namespace fuchsiadrum {

/// A span of time.
using Duration = std::chrono::microseconds;

/// A moment: microseconds since an epoch that the embedding program chooses.
/// The library never reads a clock; each call passes the moment in.
struct TimePoint {
  int64_t us = 0;

  auto operator<=>(const TimePoint&) const = default;
  TimePoint operator+(Duration d) const { return {this->us + d.count()}; }
  TimePoint operator-(Duration d) const { return {this->us - d.count()}; }
  Duration operator-(TimePoint other) const {
    return Duration(this->us - other.us);
  }
};

/// A number of tokens.
struct Tokens {
  int64_t count = 0;

  constexpr Tokens() = default;
  constexpr explicit Tokens(int64_t n) : count(n) {}
  auto operator<=>(const Tokens&) const = default;
  constexpr Tokens operator+(Tokens other) const {
    return Tokens(this->count + other.count);
  }
  constexpr Tokens operator-(Tokens other) const {
    return Tokens(this->count - other.count);
  }
  Tokens& operator+=(Tokens other) {
    this->count += other.count;
    return *this;
  }
  Tokens& operator-=(Tokens other) {
    this->count -= other.count;
    return *this;
  }
};

/// Position of a record: offset of its batch on the log, index in the batch.
struct LogPosition {
  uint64_t offset = 0;
  uint32_t index = 0;

  auto operator<=>(const LogPosition&) const = default;
  pb::Position ToProto() const;
  static LogPosition FromProto(const pb::Position& position);
  /// "offset.index", for log lines.
  std::string ToString() const;
};

/// One life of a daemon: its VM's name and the incarnation of the process.
struct VmRef {
  std::string vm;
  uint64_t incarnation = 0;

  auto operator<=>(const VmRef&) const = default;
  pb::VmRef ToProto() const;
  static VmRef FromProto(const pb::VmRef& ref);
  /// "vm/incarnation", for log lines.
  std::string ToString() const;
};

/// A daemon as the VM list and the settings describe it.
struct VmInfo {
  VmRef ref;
  std::string availability_zone;
};

}  // namespace fuchsiadrum

template <>
struct std::hash<fuchsiadrum::LogPosition> {
  size_t operator()(const fuchsiadrum::LogPosition& p) const noexcept {
    return static_cast<size_t>((p.offset * 0x9E3779B97F4A7C15ULL) ^ p.index);
  }
};
