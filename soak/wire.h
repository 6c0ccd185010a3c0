#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace fuchsiadrum::soak {

/// Routes of the soak's configuration.
enum class SoakRoute {
  kUnsafe,
  kSafe,
  kResumable,
  kOnce,
  kLong,
  kLasting,
  kAdded
};
constexpr int kRouteCount = 7;

/// What the configuration says about a route.
struct RouteTraits {
  std::string_view name;
  std::string_view kind;
  int max_attempts = 1;
  bool is_stream = false;
  bool is_resumable = false;
  /// Some of its streams last for seconds, and no deadline ends them.
  bool is_long = false;

  bool IsIdempotent() const {
    return this->kind == "safe" || this->is_resumable;
  }
};

const RouteTraits& TraitsOf(SoakRoute route);
SoakRoute RouteOfPath(std::string_view path);

/// Time that callers are prepared to wait, in milliseconds.
constexpr int kCallerTimeoutMs = 900;

/// Names of header fields that the soak reads.
constexpr std::string_view kFieldId = "Attempt-Id";
constexpr std::string_view kFieldSignature = "Runner-Signature";
constexpr std::string_view kFieldLastEvent = "Last-Event-Id";

/// Topics and keys of the platform's store.
constexpr std::string_view kTopicOperators = "keyed.op";
constexpr std::string_view kTopicUpstreams = "keyed.servers";
constexpr std::string_view kKeyConfig = "config";

/// A version of the configuration, from 1, with one service and all routes.
/// Each version has one route of kAdded more than the version before.
std::string EncodeConfig(int version);
/// The entry of an upstream in its `sequence`th heartbeat. `start`: how often
/// it has started. `version`: of its software.
std::string EncodeEntry(const std::string& address, int64_t sequence, int start,
                        const std::string& version);
/// True if the prompt of the request with that id has the part that ends
/// upstreams.
bool HasBadPart(const std::string& id);

/// Id of the request that began the stream: the same, or that which a take-up
/// goes on with.
std::string StreamOf(const std::string& id);
/// Id of the `number`th take-up of a stream.
std::string TakeUpId(const std::string& stream, int number);
/// Fields of the take-up of a stream after `last_event`.
std::string EncodeTakeUp(const std::string& stream, uint64_t last_event);
/// The last whole event in a body; 0 if there is none.
uint64_t LastEvent(std::string_view body);
/// Versions of the software that wrote the whole events in a body.
std::set<std::string> VersionsIn(std::string_view body);

/// The head of a caller's request without its framing and its end. `added`: the
/// version of the configuration that added the route, for kAdded.
std::string EncodeRequestHead(SoakRoute route, const std::string& id,
                              int added);
/// Body of the request with that id, so that a changed body is noticed.
std::string RequestBody(const std::string& id, size_t bytes);
/// True if the body may be that of the request with that id.
bool IsRequestBody(const std::string& id, std::string_view body);

/// The whole body of the answer to a request. For a stream: its events after
/// `last_event`, which name the version of the software that writes them.
std::string AnswerBody(SoakRoute route, const std::string& id,
                       const std::string& version, uint64_t last_event);

/// Start line and fields of an answer without its framing and its end. An empty
/// id or signature is left out.
std::string EncodeAnswerHead(std::string_view status, const std::string& id,
                             const std::string& signature);
/// An answer which says that the request with that id did not run.
std::string EncodeRefusal(std::string_view status, const std::string& id);
/// Field which says that a request did not run.
std::string_view NotRunField();
std::string EncodeChunk(std::string_view bytes);

/// True if the status says that the configuration does not allow the request.
bool IsDenial(unsigned int status);
/// True if the status promises that the request has not run.
bool IsPromise(unsigned int status);

}  // namespace fuchsiadrum::soak
