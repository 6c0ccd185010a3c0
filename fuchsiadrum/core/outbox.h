#pragma once

#include <vector>

#include "fuchsiadrum/core/types.h"
#include "schema/peer.pb.h"
#include "schema/record.pb.h"

namespace fuchsiadrum {

/// A message to another daemon. An incarnation of 0 in `to` means any.
struct Envelope {
  VmRef to;
  pb::PeerMessage body;
};

/// What a state machine wants done. The caller empties it.
struct Outbox {
  /// Messages to other daemons; they may be lost, doubled or reordered.
  std::vector<Envelope> messages;
  /// Records to append to the log, in this order.
  std::vector<pb::Record> records;

  /// Adds an empty message to `to` and returns its body.
  pb::PeerMessage& AddMessage(const VmRef& to) {
    this->messages.push_back({.to = to});
    return this->messages.back().body;
  }
  /// Adds an empty record.
  pb::Record& AddRecord() { return this->records.emplace_back(); }
};

}  // namespace fuchsiadrum
