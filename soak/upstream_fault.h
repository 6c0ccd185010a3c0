#pragma once

#include <string_view>

#include "fuchsiadrum/core/rng.h"

namespace fuchsiadrum::soak {

/// What an upstream does with one request.
enum class UpstreamFault {
  kNone,
  kSlow,
  kUnframed,  // a whole answer that ends with its connection
  kTrueRefusal,
  kEarlyTrueRefusal,  // before the body was read
  kEarlierRefusal,    // a refusal of an earlier request, then the answer
  kUnnamedRefusal,    // a refusal without an id, then the answer
  kExtraRefusal,      // the answer, then a refusal of the same request
  kSignedFailure,     // ran; 503, 429 or 408 with a signature
  kUnsignedFailure,   // ran; 503, 429 or 408 without one
  kOddInterim,        // an interim answer with odd fields, then the answer
  kHidingInterim,     // an interim answer with a refusal as its body
  kCutHead,           // ran; the head ends at some byte
  kResetBeforeBody,   // did not run
  kResetInBody,       // did not run
  kResetAfterBody,    // did not run
  kResetAfterRun,     // ran; no answer
  kCutAnswer,         // ran; the body ends at some byte
  kCutUnframed,       // the same, of an answer that ends with its connection
  kNoEvents,          // ran; the head, then the end of the connection
  kRefusalAsEvents,   // ran; the head, then a refusal as the body
  kEarlyAnswer,       // ran; the answer before the body was read
  kEarlyUnframed,     // ran; a whole answer that ends with its connection,
                      // before the body was read
  kEarlyReset,        // ran; the same, cut by a reset
  kMalformed,         // ran; an answer that is none in HTTP/1.1
  kSilence,           // ran; no answer
  kSilenceAfterHead,  // ran; the head and no more
  kEnd,               // the upstream ended meanwhile, with all connections
};
constexpr int kUpstreamFaultCount = 28;

std::string_view UpstreamFaultName(UpstreamFault fault);

/// True if an upstream with that fault answers the request wholly and as the
/// protocol says.
bool IsSound(UpstreamFault fault);
/// True if it proves that it did not run the request.
bool IsProvedRefusal(UpstreamFault fault);

/// Draws what an upstream does with a request.
UpstreamFault DrawUpstreamFault(Rng& rng);

}  // namespace fuchsiadrum::soak
